/// \file
/// An advisory lock on a file, by which the processes of one gateway agree on who serves.
#pragma once

#include <string>
#include <utility>

namespace wingproxy::hot_restart {

/// An `flock` on a file of its own. The kernel releases it when the process ends, however it ends.
///
/// Two `FileLock` objects on the same path exclude each other also within one process.
class FileLock {
public:
    /// Which other holders a lock excludes: all, or the exclusive ones only.
    enum class Mode { Exclusive, Shared };

    /// The file is created by the first attempt to lock it, and never removed.
    explicit FileLock(std::string path) : path_(std::move(path)) {}
    ~FileLock() { release(); }
    FileLock(const FileLock&) = delete;
    FileLock& operator=(const FileLock&) = delete;

    /// Does not block. A lock that is held already stays as it is, whatever its mode.
    /// \return false: another holder excludes it, or the file cannot be created
    bool tryAcquire(Mode mode = Mode::Exclusive);

    /// Blocks until no other holder excludes it: only for locks that are held for microseconds. Where the
    /// file cannot be created, it returns at once without the lock.
    void acquire(Mode mode = Mode::Exclusive);

    /// Lets others acquire the lock; without effect where it is not held.
    void release();
    /// Whether this object holds the lock, in whatever mode.
    [[nodiscard]] bool held() const { return fd_ >= 0; }

private:
    bool lock(int operation);

    std::string path_;
    int fd_ = -1;
};

}  // namespace wingproxy::hot_restart

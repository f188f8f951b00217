/// \file
/// An advisory file lock, by which the processes of one gateway decide which of them serves.
#pragma once

#include <string>
#include <utility>

namespace wingproxy::hot_restart {

/// An `flock` on a file that exists only for this purpose. The kernel releases it when the process ends,
/// however it ends.
///
/// Two `FileLock` objects on the same path exclude each other also within one process.
class FileLock {
public:
    /// Which other holders the lock excludes: all, or exclusive ones only.
    enum class Mode { Exclusive, Shared };

    /// The first attempt to lock the file creates it. It is never removed.
    explicit FileLock(std::string path) : path_(std::move(path)) {}
    ~FileLock() { release(); }
    FileLock(const FileLock&) = delete;
    FileLock& operator=(const FileLock&) = delete;

    /// Does not block. If this object holds the lock already, it keeps it in its present mode.
    /// \return false if another holder excludes it or the file cannot be opened
    bool tryAcquire(Mode mode = Mode::Exclusive);

    /// Blocks until no other holder excludes it: only for locks that are held for microseconds. Returns at
    /// once without the lock if the file cannot be opened.
    void acquire(Mode mode = Mode::Exclusive);

    /// Lets others acquire the lock. Does nothing if it is not held.
    void release();
    /// Whether this object holds the lock, in either mode.
    [[nodiscard]] bool held() const { return fd_ >= 0; }

private:
    bool lock(int operation);

    std::string path_;
    int fd_ = -1;
};

}  // namespace wingproxy::hot_restart

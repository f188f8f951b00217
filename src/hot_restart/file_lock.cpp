#include "hot_restart/file_lock.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>

namespace wingproxy::hot_restart {
namespace {

constexpr mode_t kOwnerOnly = 0600;

int flockOperation(FileLock::Mode mode) { return mode == FileLock::Mode::Shared ? LOCK_SH : LOCK_EX; }

/// Calls `flock` again if a signal interrupts it.
bool flockUninterrupted(int fd, int operation) {
    while (::flock(fd, operation) != 0) {
        if (errno != EINTR) return false;
    }
    return true;
}

}  // namespace

bool FileLock::lock(int operation) {
    if (held()) return true;
    const int fd = ::open(path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kOwnerOnly);
    if (fd < 0) return false;
    if (!flockUninterrupted(fd, operation)) {
        ::close(fd);
        return false;
    }
    fd_ = fd;
    return true;
}

bool FileLock::tryAcquire(Mode mode) { return lock(flockOperation(mode) | LOCK_NB); }

void FileLock::acquire(Mode mode) { lock(flockOperation(mode)); }

void FileLock::release() {
    if (held()) ::close(fd_);
    fd_ = -1;
}

}  // namespace wingproxy::hot_restart

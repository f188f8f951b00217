// A shared object that is preloaded into a front under test. It offsets the wall clock and makes writes to
// regular files fail as the control file says; sockets and standard streams are not affected. Used by tests
// only, never installed.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <ctime>

#include "soak/fault_control.h"

namespace {

using wingproxy::soak::FaultControl;
using wingproxy::soak::StorageFault;

template <typename Function>
Function next(const char* name) {
    return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

FaultControl* mapControl() {
    const char* const path = std::getenv(wingproxy::soak::kFaultControlVariable);
    if (path == nullptr) return nullptr;
    const int file = open(path, O_RDWR | O_CLOEXEC);
    if (file < 0) return nullptr;
    void* const memory = mmap(nullptr, sizeof(FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    return memory == MAP_FAILED ? nullptr : static_cast<FaultControl*>(memory);
}

FaultControl* control() {
    static FaultControl* const mapped = mapControl();
    return mapped;
}

[[gnu::constructor]] void attach() {
    if (FaultControl* const faults = control()) faults->attached = 1;
}

StorageFault storageFaultOf(int file) {
    struct stat status {};
    if (file <= STDERR_FILENO || control() == nullptr || control()->storage == StorageFault::None ||
        fstat(file, &status) != 0 || !S_ISREG(status.st_mode))
        return StorageFault::None;
    return control()->storage;
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* time) {
    static const auto real = next<int (*)(clockid_t, timespec*)>("clock_gettime");
    const int result = real(clock, time);
    if (result != 0 || clock != CLOCK_REALTIME || control() == nullptr) return result;
    constexpr std::int64_t kNanosPerSecond = 1'000'000'000;
    const std::int64_t nanos =
        std::int64_t(time->tv_sec) * kNanosPerSecond + time->tv_nsec + control()->wallClockOffsetUs * 1000;
    time->tv_sec = nanos / kNanosPerSecond;
    time->tv_nsec = nanos % kNanosPerSecond;
    return 0;
}

ssize_t write(int file, const void* bytes, size_t count) {
    static const auto real = next<ssize_t (*)(int, const void*, size_t)>("write");
    switch (storageFaultOf(file)) {
        case StorageFault::None:
            return real(file, bytes, count);
        case StorageFault::HalfWrite:
            if (count > 1) return real(file, bytes, count / 2);
            [[fallthrough]];
        case StorageFault::NoSpace:
            errno = ENOSPC;
            return -1;
        case StorageFault::IoError:
            errno = EIO;
            return -1;
    }
    return -1;
}

int fsync(int file) {
    static const auto real = next<int (*)(int)>("fsync");
    if (storageFaultOf(file) != StorageFault::IoError) return real(file);
    errno = EIO;
    return -1;
}

int rename(const char* from, const char* to) {
    static const auto real = next<int (*)(const char*, const char*)>("rename");
    if (control() == nullptr || control()->storage != StorageFault::IoError) return real(from, to);
    errno = EIO;
    return -1;
}
}

#include "hot_restart/shared_files.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <fstream>
#include <iterator>

namespace wingproxy::hot_restart {

bool Lock::lock(int how) {
    if (fd_ >= 0) return true;
    const int fd = ::open(path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (fd < 0) return false;
    int failed = 0;
    do
        failed = ::flock(fd, how);
    while (failed != 0 && errno == EINTR);
    if (failed != 0) {
        ::close(fd);
        return false;
    }
    fd_ = fd;
    return true;
}

bool Lock::take(bool shared) { return lock((shared ? LOCK_SH : LOCK_EX) | LOCK_NB); }
void Lock::wait(bool shared) { lock(shared ? LOCK_SH : LOCK_EX); }

void Lock::release() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
}

bool writeFile(const std::string& path, std::string_view bytes) {
    const auto beside = path + ".new";
    std::ofstream out(beside, std::ios::binary | std::ios::trunc);
    out.write(bytes.data(), std::streamsize(bytes.size()));
    out.close();
    if (!out || std::rename(beside.c_str(), path.c_str()) != 0) {
        std::remove(beside.c_str());
        return false;
    }
    return true;
}

std::optional<std::string> readFile(const std::string& path, std::size_t most) {
    std::ifstream in(path, std::ios::binary | std::ios::ate);
    if (!in || std::size_t(in.tellg()) > most) return std::nullopt;
    in.seekg(0);
    return std::string(std::istreambuf_iterator<char>(in), {});
}

}  // namespace wingproxy::hot_restart

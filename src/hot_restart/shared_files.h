// The files in the folder that two processes of one front share: locks that die with their holder, the
// snapshot, and the operators' overrides. Small files in memory, so the calls wait for no device.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace wingproxy::hot_restart {

// An flock on a file of its own. Let go by the destructor and by the process's end.
class Lock {
public:
    explicit Lock(std::string path) : path_(std::move(path)) {}
    ~Lock() { release(); }
    Lock(const Lock&) = delete;
    Lock& operator=(const Lock&) = delete;
    bool take(bool shared = false);  // false: another process has it, or the file cannot be made
    void wait(bool shared = false);  // until it is there: for those held for microseconds only
    void release();
    bool held() const { return fd_ >= 0; }

private:
    bool lock(int how);
    std::string path_;
    int fd_ = -1;
};

// Written beside and renamed: a reader sees the whole of it or what was there before. False: not written.
bool writeFile(const std::string& path, std::string_view bytes);
std::optional<std::string> readFile(const std::string& path, std::size_t most);  // empty: there is none

}  // namespace wingproxy::hot_restart

// A folder of a test's own, as $TMPDIR is of the processes of one gateway.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace wingproxy::test {

class TemporaryFolder {
public:
    TemporaryFolder() {
        std::string pattern = (std::filesystem::temp_directory_path() / "wingproxy-XXXXXX").string();
        path_ = mkdtemp(pattern.data());
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path_); }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    [[nodiscard]] std::string path() const { return path_.string(); }
    [[nodiscard]] std::string file(const char* name) const { return (path_ / name).string(); }

private:
    std::filesystem::path path_;
};

}  // namespace wingproxy::test

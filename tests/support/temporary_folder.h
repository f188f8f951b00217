/// \file
/// A folder of a test's own, as $TMPDIR is of the processes of one gateway.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

namespace wingproxy::test {

/// Makes an empty folder, and removes it with all that is in it when it is destroyed.
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
    /// The path of a file in the folder, whether it exists or not.
    [[nodiscard]] std::string file(const std::string& name) const { return (path_ / name).string(); }
    /// Writes a file in place of what it was before.
    /// \return its path
    std::string write(const std::string& name, const std::string& content) const {
        std::ofstream(path_ / name) << content;
        return file(name);
    }

private:
    std::filesystem::path path_;
};

}  // namespace wingproxy::test

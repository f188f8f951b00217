/// \file
/// A temporary folder for one test, for instance as the $TMPDIR of the processes of a gateway.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

namespace wingproxy::test {

/// Creates an empty folder, and removes it and its content when it is destroyed.
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
    /// The path of a file in the folder, which need not exist.
    [[nodiscard]] std::string file(const std::string& name) const { return (path_ / name).string(); }
    /// Creates a file or replaces its content.
    /// \return its path
    std::string write(const std::string& name, const std::string& content) const {
        std::ofstream(path_ / name) << content;
        return file(name);
    }

private:
    std::filesystem::path path_;
};

}  // namespace wingproxy::test

#include "hot_restart/atomic_file.h"

#include <cstdio>
#include <fstream>
#include <iterator>

namespace wingproxy::hot_restart {

bool writeFileAtomically(const std::string& path, std::string_view bytes) {
    const std::string temporaryPath = path + ".new";
    std::ofstream out(temporaryPath, std::ios::binary | std::ios::trunc);
    out.write(bytes.data(), std::streamsize(bytes.size()));
    out.close();
    if (!out || std::rename(temporaryPath.c_str(), path.c_str()) != 0) {
        std::remove(temporaryPath.c_str());
        return false;
    }
    return true;
}

std::optional<std::string> readFile(const std::string& path, std::size_t maxBytes) {
    std::ifstream in(path, std::ios::binary | std::ios::ate);
    if (!in || std::size_t(in.tellg()) > maxBytes) return std::nullopt;
    in.seekg(0);
    return std::string(std::istreambuf_iterator<char>(in), {});
}

}  // namespace wingproxy::hot_restart

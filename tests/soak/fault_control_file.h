/// \file
/// The test's side of the fault shim.
#pragma once

#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "soak/fault_control.h"

namespace wingproxy::soak {

/// Creates and maps the file that controls the faults of one process.
class FaultControlFile {
public:
    explicit FaultControlFile(const std::string& path) : path_(path) {
        const int file = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
        REQUIRE(file >= 0);
        REQUIRE(ftruncate(file, sizeof(FaultControl)) == 0);
        void* const memory = mmap(nullptr, sizeof(FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
        ::close(file);
        REQUIRE(memory != MAP_FAILED);
        control_ = static_cast<FaultControl*>(memory);
    }
    ~FaultControlFile() { munmap(control_, sizeof(FaultControl)); }
    FaultControlFile(const FaultControlFile&) = delete;
    FaultControlFile& operator=(const FaultControlFile&) = delete;
    FaultControl* operator->() const { return control_; }
    /// The environment variables that load the shim into the process and name this file.
    [[nodiscard]] std::vector<std::string> variables() const {
        return {std::string(kFaultControlVariable) + "=" + path_, "LD_PRELOAD=" WINGPROXY_FAULT_SHIM};
    }

private:
    std::string path_;
    FaultControl* control_ = nullptr;
};

}  // namespace wingproxy::soak

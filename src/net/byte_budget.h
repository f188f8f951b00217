// Bytes of bodies that may be held at one time, by all requests and answers together: what the memory limit
// leaves.
#pragma once

#include <cstddef>
#include <memory>

namespace wingproxy::net {

class ByteBudget {
public:
    using Hold = std::shared_ptr<void>;  // gives its bytes back when the last copy goes
    explicit ByteBudget(std::size_t most) : most_(most), held_(std::make_shared<std::size_t>(0)) {}
    // Empty where the bytes do not fit.
    Hold take(std::size_t bytes) {
        if (bytes > most_ || *held_ > most_ - bytes) return nullptr;
        *held_ += bytes;
        return Hold(held_.get(), [held = held_, bytes](void*) { *held -= bytes; });
    }
    std::size_t held() const { return *held_; }

private:
    std::size_t most_;
    std::shared_ptr<std::size_t> held_;
};

}  // namespace wingproxy::net

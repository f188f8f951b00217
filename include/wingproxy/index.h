/// \file
/// Index types of the decision module's interface: a host, a cell, a class, a plan and an attempt are each
/// named by a number, and the compiler keeps the five kinds apart.
#pragma once

#include <compare>
#include <cstddef>

namespace wingproxy {

/// A number from 0 that names one thing of a kind, or nothing.
///
/// Two kinds never convert into each other, nor from or to a plain integer: `value()` and the constructor
/// stand where a number enters or leaves the program (wire, settings, stored data), `position()` where a
/// vector is accessed. An index that names nothing sorts before all others.
///
/// \tparam Kind an empty type that only tells the kinds apart
template <typename Kind>
class Index {
public:
    /// What `value()` gives for an index that names nothing; stored data and wires hold this number.
    static constexpr int kNoneValue = -1;

    /// Names nothing.
    constexpr Index() = default;
    /// \param value the number; any negative one names nothing
    constexpr explicit Index(int value) : value_(value < 0 ? kNoneValue : value) {}
    /// The index of the element at this position of a vector.
    [[nodiscard]] static constexpr Index ofPosition(std::size_t position) {
        return Index(static_cast<int>(position));
    }

    /// Whether it names nothing.
    [[nodiscard]] constexpr bool isNone() const { return value_ == kNoneValue; }
    /// Whether it names something.
    [[nodiscard]] constexpr bool isSet() const { return value_ != kNoneValue; }
    /// The number, to be written where a plain integer is needed; `kNoneValue` if it names nothing.
    [[nodiscard]] constexpr int value() const { return value_; }
    /// The position in a vector that has one element for each number. Beyond the end of any vector if the
    /// index names nothing, so that `std::vector::at` throws.
    [[nodiscard]] constexpr std::size_t position() const { return static_cast<std::size_t>(value_); }
    /// Whether it names one of the things that are numbered from 0 to `count` - 1.
    [[nodiscard]] constexpr bool isBelow(int count) const { return isSet() && value_ < count; }
    /// The next number; of none it is 0.
    [[nodiscard]] constexpr Index next() const { return Index(value_ + 1); }

    /// By the number; an index that names nothing comes first.
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the comparison with 0 that C++20 generates
    constexpr auto operator<=>(const Index&) const = default;

    /// Writes to a cereal archive, or reads from one, the same bytes as those of `value()`.
    template <typename Archive>
    void serialize(Archive& archive) {
        int number = value_;
        archive(number);
        *this = Index(number);
    }

private:
    int value_ = kNoneValue;
};

/// A host of the tier, that is one running copy of this program; below `Settings::hostCount`.
using HostIndex = Index<struct HostKind>;
/// A group of nodes that hold the same objects, as the endpoint list numbers it.
using CellIndex = Index<struct CellKind>;
/// A request class: its position in `Settings::classes`.
using ClassIndex = Index<struct ClassKind>;
/// A service plan: its position in `Settings::plans`.
using PlanIndex = Index<struct PlanKind>;
/// An attempt at a node, counted from 0 within its request.
using AttemptIndex = Index<struct AttemptKind>;

}  // namespace wingproxy

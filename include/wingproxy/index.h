/// \file
/// Strongly typed indices of the decision module's interface: hosts, cells, classes, plans and attempts are
/// each numbered from 0, and the compiler keeps the five kinds apart.
#pragma once

#include <compare>
#include <cstddef>

namespace wingproxy {

/// The number, from 0, of one item of a kind; or no item at all.
///
/// There are no conversions between kinds, nor from or to a plain integer: `value()` and the constructor are
/// for the places where a number enters or leaves the program (wire, settings, stored data), `position()` is
/// for access to a vector. An index that names nothing sorts before all others.
///
/// \tparam Kind an empty type that only tells the kinds apart
template <typename Kind>
class Index {
public:
    /// The `value()` of an index that names nothing, also on the wire and in stored data.
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
    /// Whether it names one of the items numbered from 0 to `count` - 1.
    [[nodiscard]] constexpr bool isBelow(int count) const { return isSet() && value_ < count; }
    /// The next number; 0 if this index names nothing.
    [[nodiscard]] constexpr Index next() const { return Index(value_ + 1); }

    /// Compares the numbers; an index that names nothing comes first.
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the comparison with 0 that C++20 generates
    constexpr auto operator<=>(const Index&) const = default;

    /// Writes to a cereal archive, or reads from one, the same bytes as for the plain integer `value()`.
    template <typename Archive>
    void serialize(Archive& archive) {
        int number = value_;
        archive(number);
        *this = Index(number);
    }

private:
    int value_ = kNoneValue;
};

/// A host of the tier, that is, one running instance of this program; below `Settings::hostCount`.
using HostIndex = Index<struct HostKind>;
/// A group of nodes that hold the same objects, by its number in the endpoint list.
using CellIndex = Index<struct CellKind>;
/// A request class: its position in `Settings::classes`.
using ClassIndex = Index<struct ClassKind>;
/// A service plan: its position in `Settings::plans`.
using PlanIndex = Index<struct PlanKind>;
/// An attempt at a node, counted from 0 within its request.
using AttemptIndex = Index<struct AttemptKind>;

}  // namespace wingproxy

/// \file
/// A list of shared objects, ordered by their last activity.
#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <unordered_map>

namespace wingproxy::net {

/// Owns its items; the least recently active one comes first. Each operation takes constant time. Iterators
/// stay valid while other items are added, moved or removed.
template <typename Item>
class LruList {
public:
    /// The items, the least recently active first.
    using Items = std::list<std::shared_ptr<Item>>;

    /// Adds an item that is not in the list, as the most recently active one.
    void add(std::shared_ptr<Item> item) {
        const Item* key = item.get();
        positions_[key] = items_.insert(items_.end(), std::move(item));
    }
    /// Moves an item to the end, as the most recently active one; ignored if it is not in the list.
    void touch(const Item& item) {
        if (const auto it = positions_.find(&item); it != positions_.end())
            items_.splice(items_.end(), items_, it->second);
    }
    /// Drops an item, which may destroy it; ignored if it is not in the list.
    void remove(const Item& item) {
        const auto it = positions_.find(&item);
        if (it == positions_.end()) return;
        const auto position = it->second;
        positions_.erase(it);
        items_.erase(position);
    }
    /// The number of items.
    std::size_t size() const { return items_.size(); }
    /// Whether there is no item.
    bool empty() const { return items_.empty(); }
    /// The least recently active item. The list must not be empty.
    const std::shared_ptr<Item>& front() const { return items_.front(); }
    /// Iterates from the least recently active item on.
    typename Items::const_iterator begin() const { return items_.begin(); }
    /// The end, after the most recently active item.
    typename Items::const_iterator end() const { return items_.end(); }

private:
    Items items_;
    std::unordered_map<const Item*, typename Items::iterator> positions_;
};

}  // namespace wingproxy::net

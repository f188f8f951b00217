/// \file
/// `shared_from_this()` with the type of a derived class: that of the base class returns a pointer to the
/// base.
#pragma once

#include <memory>

namespace wingproxy::net {

/// Returns a pointer that keeps `*object` alive, for the handlers of its asynchronous operations. A
/// shared_ptr must own the object already, so this cannot be called in its constructor.
template <typename Object>
std::shared_ptr<Object> sharedFrom(Object* object) {
    return std::static_pointer_cast<Object>(object->shared_from_this());
}

/// The same without keeping the object alive, for handlers that may run after its destruction.
template <typename Object>
std::weak_ptr<Object> weakFrom(Object* object) {
    return sharedFrom(object);
}

}  // namespace wingproxy::net

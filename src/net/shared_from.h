/// \file
/// `shared_from_this()` for classes that derive from a base which is enabled for it: the base's gives a
/// pointer to the base.
#pragma once

#include <memory>

namespace wingproxy::net {

/// A pointer that keeps `*object` alive, for the handlers of its asynchronous operations. The object has to
/// be owned by a shared_ptr already, so not in its constructor.
template <typename Object>
std::shared_ptr<Object> sharedFrom(Object* object) {
    return std::static_pointer_cast<Object>(object->shared_from_this());
}

/// The same without keeping it alive, for handlers that may come after its end.
template <typename Object>
std::weak_ptr<Object> weakFrom(Object* object) {
    return sharedFrom(object);
}

}  // namespace wingproxy::net

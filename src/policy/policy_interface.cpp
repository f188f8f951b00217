/// \file
/// The public interface of the policy (wingproxy/policy.h): sets the time of each call and forwards it.
#include "policy/policy_impl.h"

namespace wingproxy {

std::size_t Policy::Impl::tableEntries() const {
    return cluster_.nodeCount() + volumes_.size() + usage_.size() + gossip_.size() + requests_.size() +
           retries_.orderedKeys() + recovery_.tableEntries();
}

Policy::Policy(const Settings& settings, Micros now) : impl_(std::make_unique<Impl>(settings, now)) {}
Policy::~Policy() = default;
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;

void Policy::on(Micros now, const Event& event) {
    impl_->setTime(now);
    std::visit([this](const auto& typed) { impl_->handle(typed); }, event);
}

std::vector<Action> Policy::finish(Micros now) {
    impl_->setTime(now);
    return impl_->finishBatch();
}

std::string Policy::takeSnapshot(Micros now) {
    impl_->setTime(now);
    return impl_->takeSnapshot();
}

bool Policy::restore(const std::string& snapshot) { return impl_->restore(snapshot); }
std::size_t Policy::tableEntries() const { return impl_->tableEntries(); }
std::size_t Policy::avoidedNodes() const { return impl_->avoidedNodes(); }
const fleet::RestartRecovery& Policy::recovery() const { return impl_->recovery(); }

}  // namespace wingproxy

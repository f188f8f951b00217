#include "app/config_reload.h"

#include <exception>
#include <utility>

#include "config/reload_differences.h"

namespace wingproxy::app {

ConfigReload::ConfigReload(std::string path, const config::Config& atStart, ApplyConfig apply,
                           log::Logger& logger)
    : path_(std::move(path)), atStart_(atStart), apply_(std::move(apply)), logger_(logger) {}

void ConfigReload::reload() {
    try {
        const config::Config newConfig = config::parseConfig(config::readFile(path_));
        apply_(newConfig);
        const std::string unapplied = config::fieldsNeedingRestart(atStart_, newConfig);
        ++counters_.applied;
        logger_.info("reloaded: discovery at {}:{}, {} peers, {} descriptors{}{}", newConfig.discovery.host,
                     newConfig.discovery.port, newConfig.peers.size(), newConfig.maxDescriptors,
                     unapplied.empty() ? "" : "; only a restart changes ", unapplied);
    } catch (const std::exception& error) {
        ++counters_.rejected;
        logger_.error("reload: {}; the old values stay", error.what());
    }
}

}  // namespace wingproxy::app

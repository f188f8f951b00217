#include "config/reload_differences.h"

#include <string_view>

#include "config/config.h"

namespace wingproxy::config {
namespace {

bool haveSameSettings(const Config& running, const Config& reloaded) {
    auto settings = reloaded.settings;
    settings.seed = running.settings.seed;
    return running.settings == settings && running.connIdleUs == reloaded.connIdleUs;
}

}  // namespace

std::string fieldsNeedingRestart(const Config& running, const Config& reloaded) {
    struct Field {
        std::string_view name;
        bool same;
    };
    const Field fields[] = {{"name", running.name == reloaded.name},
                            {"listen", running.listen == reloaded.listen},
                            {"peer_listen", running.peerListen == reloaded.peerListen},
                            {"mgmt", running.adminListen == reloaded.adminListen},
                            {"limits.memory_mb", running.memoryMb == reloaded.memoryMb},
                            {"settings", haveSameSettings(running, reloaded)}};
    std::string different;
    for (const auto& field : fields) {
        if (field.same) continue;
        if (!different.empty()) different += ", ";
        different += field.name;
    }
    return different;
}

}  // namespace wingproxy::config

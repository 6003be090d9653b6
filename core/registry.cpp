#include "core/registry.h"

#include <algorithm>

namespace wigeonkeel
{

const PolicyPlugin *findPolicy(const Registry &registry, std::string_view name)
{
    const auto found = std::ranges::find(registry.policies, name, &PolicyPlugin::name);
    return found == registry.policies.end() ? nullptr : &*found;
}

} // namespace wigeonkeel

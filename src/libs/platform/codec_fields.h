#pragma once

#include "core/enum_names.h"
#include "core/identifiers.h"
#include "core/resources.h"
#include "platform/cbor_message.h"

#include <optional>

namespace mjm {

[[nodiscard]] nlohmann::json shard_fields(const shard_id& id);
[[nodiscard]] shard_id read_shard(cbor_reader& in, const char* name);
[[nodiscard]] nlohmann::json resource_fields(const resources& r);
[[nodiscard]] resources read_resources(cbor_reader& in, const char* name);

/// Reads a name of an enumeration; an unknown name fails the reader.
template <typename Enum>
[[nodiscard]] Enum read_enum(cbor_reader& in, const char* name)
{
    const std::optional<Enum> value = parse_enum<Enum>(in.text(name));
    if (!value)
        in.fail();
    return value.value_or(Enum{});
}

} // namespace mjm

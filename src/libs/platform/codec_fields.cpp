#include "platform/codec_fields.h"

namespace mjm {

nlohmann::json shard_fields(const shard_id& id)
{
    return {{"service", id.service.str()}, {"zone", id.zone.str()}};
}

shard_id read_shard(cbor_reader& in, const char* name)
{
    cbor_reader fields = cbor_reader::of(in.nested(name));
    shard_id id{service_id{fields.text("service")}, zone_id{fields.text("zone")}};
    if (!fields.ok())
        in.fail();
    return id;
}

nlohmann::json resource_fields(const resources& r)
{
    return {{"milli_cpu", r.milli_cpu},
            {"memory_mib", r.memory_mib},
            {"accelerators", r.accelerators},
            {"slots", r.slots}};
}

resources read_resources(cbor_reader& in, const char* name)
{
    cbor_reader fields = cbor_reader::of(in.nested(name));
    resources r;
    r.milli_cpu = fields.integer("milli_cpu");
    r.memory_mib = fields.integer("memory_mib");
    r.accelerators = fields.integer("accelerators");
    r.slots = fields.integer("slots");
    if (!fields.ok())
        in.fail();
    return r;
}

} // namespace mjm

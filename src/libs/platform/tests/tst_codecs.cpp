#include "platform/body_digest.h"
#include "platform/error_body.h"
#include "platform/peer_codec.h"
#include "platform/store_codec.h"
#include "platform/target_codec.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mjm;

namespace {

const std::string binary_body{"\0\xff\r\n{}", 6};

request sample_request()
{
    request r;
    r.id = request_id{"r1"};
    r.team = team_id{"team"};
    r.service = service_id{"lens"};
    r.urgency = priority::urgent;
    r.idempotent = true;
    r.ticket = "ticket";
    r.declared = {1000, 2048, 1, 1};
    r.declared_run = std::chrono::milliseconds{70};
    r.timeout = std::chrono::seconds{9};
    r.body = binary_body;
    return r;
}

void check_same(const request& a, const request& b)
{
    CHECK(a.id == b.id);
    CHECK(a.team == b.team);
    CHECK(a.service == b.service);
    CHECK(a.urgency == b.urgency);
    CHECK(a.idempotent == b.idempotent);
    CHECK(a.ticket == b.ticket);
    CHECK(a.declared == b.declared);
    CHECK(a.declared_run == b.declared_run);
    CHECK(a.timeout == b.timeout);
    CHECK(a.body == b.body);
}

lease_token sample_token()
{
    return {{service_id{"s"}, zone_id{"z"}}, 3, 7, "boot"};
}

} // namespace

TEST_CASE("guards against peer messages that change on the way")
{
    const request r = sample_request();
    check_same(decode_request(encode_request(r)).value(), r);
    const shard_id shard{service_id{"lens"}, zone_id{"z1"}};
    const forwarded_request f =
        decode_forwarded_request(encode_forwarded_request({shard, 9, forward_mode::wait, r})).value();
    CHECK(f.shard == shard);
    CHECK(f.epoch == 9);
    CHECK(f.mode == forward_mode::wait);
    check_same(f.work, r);
    const cancel_message c = decode_cancel(encode_cancel({shard, r.id})).value();
    CHECK(c.shard == shard);
    CHECK(c.request == r.id);
    const outcome o{outcome_kind::failed, reason::failing_everywhere, std::chrono::seconds{2}, binary_body};
    const outcome back = decode_outcome(encode_outcome(r.id, o), r.id).value();
    CHECK(back.kind == o.kind);
    CHECK(back.why == o.why);
    CHECK(back.retry_after == o.retry_after);
    CHECK(back.body == o.body);
}

TEST_CASE("guards against an outcome of another request, or with a damaged body, being accepted")
{
    outcome o;
    o.kind = outcome_kind::completed;
    o.body = "the whole answer";
    std::string text = encode_outcome(request_id{"r1"}, o);
    CHECK(decode_outcome(text, request_id{"r2"}).error() == codec_errc::wrong_address);
    const auto at = text.find("whole");
    text[at] = 'W';
    CHECK(decode_outcome(text, request_id{"r1"}).error() == codec_errc::wrong_digest);
}

TEST_CASE("guards against truncated, damaged or deeply nested messages being accepted or ending the process")
{
    const std::string whole = encode_forwarded_request(
        {{service_id{"s"}, zone_id{"z"}}, 1, forward_mode::submit, sample_request()});
    for (std::size_t n = 0; n < whole.size(); ++n)
        CHECK_FALSE(decode_forwarded_request(std::string_view{whole}.substr(0, n)));
    for (std::size_t i = 0; i < whole.size(); ++i) {
        std::string damaged = whole;
        damaged[i] = static_cast<char>(~damaged[i]);
        (void)decode_forwarded_request(damaged);
    }
    CHECK(decode_forwarded_request(std::string(1 << 20, '\x81')).error() == codec_errc::malformed);
}

TEST_CASE("guards against target messages that change on the way")
{
    const lease_token token = sample_token();
    const open_lease_message open =
        decode_open_lease(encode_open_lease({token, "c", std::chrono::seconds{60}})).value();
    CHECK(open.token == token);
    CHECK(open.challenge == "c");
    CHECK(open.ttl == std::chrono::seconds{60});
    CHECK(decode_renew(encode_renew(token)).value() == token);
    CHECK(decode_stop(encode_stop({token, task_id{"t"}})).value().task == task_id{"t"});
    const start_order order{task_id{"t"},    request_id{"r"}, team_id{"a"},
                            service_id{"s"}, {1, 2, 3, 4},    binary_body};
    const start_message start = decode_start(encode_start({token, order})).value();
    CHECK(start.token == token);
    CHECK(start.order.task == order.task);
    CHECK(start.order.reserved == order.reserved);
    CHECK(start.order.body == order.body);

    const target_id id{"t1"};
    const task_report report{task_id{"t"}, request_id{"r"}, team_id{"a"}, task_state::stopped, {4, 3, 2, 1}};
    const lease_grant grant =
        decode_grant(encode_grant(id, {"boot", 8, true, std::chrono::seconds{9}, {report, report}}), id)
            .value();
    CHECK(grant.boot_id == "boot");
    CHECK(grant.slots == 8);
    CHECK(grant.leaving);
    CHECK(grant.uptime == std::chrono::seconds{9});
    REQUIRE(grant.tasks.size() == 2);
    CHECK(grant.tasks[1].state == task_state::stopped);
    CHECK(grant.tasks[1].used == report.used);
    CHECK(decode_usage(encode_usage(id, {{1, 2, 3, 4}, 5, true}), id)->running == 5);
    CHECK(decode_stopped(encode_stopped(id, task_id{"t"}, task_state::never_started), id, task_id{"t"}) ==
          task_state::never_started);
}

TEST_CASE("guards against answers of another target or task being accepted")
{
    const target_id id{"t1"};
    const target_id other{"t2"};
    CHECK(decode_challenge(encode_challenge(other, {"b", "c"}), id).error() == codec_errc::wrong_address);
    CHECK(decode_grant(encode_grant(other, {}), id).error() == codec_errc::wrong_address);
    CHECK(decode_usage(encode_usage(other, {}), id).error() == codec_errc::wrong_address);
    CHECK(decode_stopped(encode_stopped(id, task_id{"a"}, task_state::stopped), id, task_id{"b"}).error() ==
          codec_errc::wrong_address);
}

TEST_CASE("guards against a truncated, crossed or damaged result passed on as whole")
{
    const task_result result{task_id{"t"}, true, "whole body"};
    CHECK(decode_result(encode_result(result), task_id{"t"})->body == result.body);
    CHECK(decode_result(encode_result(result), task_id{"u"}).error() == codec_errc::wrong_address);
    http_response truncated = encode_result(result);
    truncated.body.pop_back();
    CHECK(decode_result(truncated, task_id{"t"}).error() == codec_errc::wrong_digest);
    http_response damaged = encode_result(result);
    damaged.body[0] = 'W';
    CHECK(decode_result(damaged, task_id{"t"}).error() == codec_errc::wrong_digest);
    http_response bare;
    CHECK(decode_result(bare, task_id{"t"}).error() == codec_errc::malformed);
}

TEST_CASE("guards against a refusal that turns into another one, or an unknown answer into a refusal")
{
    for (const auto& [ec, name] : enum_names<target_errc>::entries) {
        const std::optional<target_errc> back = decode_refusal(encode_refusal(ec));
        const bool refusal = ec != target_errc::connection_lost && ec != target_errc::timed_out &&
                             ec != target_errc::bad_response;
        CAPTURE(name);
        CHECK(back == (refusal ? std::optional<target_errc>{ec} : std::nullopt));
    }
    CHECK(decode_refusal(error_response(500, "internal_error")) == std::nullopt);
}

TEST_CASE("guards against store errors that claim that a write had no effect")
{
    for (const store_errc ec :
         {store_errc::conflict, store_errc::not_found, store_errc::too_large, store_errc::overloaded})
        CHECK(decode_store_error(encode_store_error(ec)) == ec);
    CHECK(may_have_taken_effect(decode_store_error(error_response(500, "internal_error"))));
    CHECK(may_have_taken_effect(decode_store_error(http_response{503, {}, "garbage", "text/plain"})));
}

TEST_CASE("guards against binary values damaged by a list")
{
    const std::vector<kv_entry> back = decode_entries(encode_entries({{"k", binary_body, 9}})).value();
    REQUIRE(back.size() == 1);
    CHECK(back[0].key == "k");
    CHECK(back[0].value == binary_body);
    CHECK(back[0].revision == 9);
    CHECK(decode_hosts(encode_hosts({{target_id{"t1"}, host_state::leaving}}))->at(0).state ==
          host_state::leaving);
}

#pragma once

#include "platform/target_client.h"

#include <algorithm>
#include <map>
#include <utility>

namespace mjm {

/// Passes every call on; a test overrides what it breaks.
class target_calls_base : public target_client {
public:
    explicit target_calls_base(target_client& inner) : inner_{inner} {}

    void challenge(const target_endpoint& target, challenge_callback done) override
    {
        inner_.challenge(target, std::move(done));
    }
    void open_lease(const target_endpoint& target, const lease_token& token, const std::string& challenge,
                    duration ttl, lease_callback done) override
    {
        inner_.open_lease(target, token, challenge, ttl, std::move(done));
    }
    void renew(const target_endpoint& target, const lease_token& token, renew_callback done) override
    {
        inner_.renew(target, token, std::move(done));
    }
    void start(const target_endpoint& target, const lease_token& token, const start_order& order,
               result_callback done) override
    {
        inner_.start(target, token, order, std::move(done));
    }
    void fetch(const target_endpoint& target, const task_id& task, result_callback done) override
    {
        inner_.fetch(target, task, std::move(done));
    }
    void stop(const target_endpoint& target, const lease_token& token, const task_id& task,
              stop_callback done) override
    {
        inner_.stop(target, token, task, std::move(done));
    }

private:
    target_client& inner_;
};

/// Targets that take a start, a renewal or a stop under any epoch.
class unfenced_targets final : public target_calls_base {
public:
    using target_calls_base::target_calls_base;

    void open_lease(const target_endpoint& target, const lease_token& token, const std::string& challenge,
                    duration ttl, lease_callback done) override
    {
        lease_token& newest = newest_[target.id];
        if (newest.epoch <= token.epoch)
            newest = token;
        target_calls_base::open_lease(target, token, challenge, ttl, std::move(done));
    }
    void renew(const target_endpoint& target, const lease_token&, renew_callback done) override
    {
        target_calls_base::renew(target, newest_[target.id], std::move(done));
    }
    void start(const target_endpoint& target, const lease_token&, const start_order& order,
               result_callback done) override
    {
        target_calls_base::start(target, newest_[target.id], order, std::move(done));
    }
    void stop(const target_endpoint& target, const lease_token&, const task_id& task,
              stop_callback done) override
    {
        target_calls_base::stop(target, newest_[target.id], task, std::move(done));
    }

private:
    std::map<target_id, lease_token> newest_;
};

/// Targets that do not tell a new owner what they ran, so that its table of requests stays empty.
class forgetful_targets final : public target_calls_base {
public:
    using target_calls_base::target_calls_base;

    void open_lease(const target_endpoint& target, const lease_token& token, const std::string& challenge,
                    duration ttl, lease_callback done) override
    {
        target_calls_base::open_lease(target, token, challenge, ttl,
                                      [done = std::move(done)](tl::expected<lease_grant, target_errc> grant) {
                                          if (grant)
                                              grant->tasks.clear();
                                          done(std::move(grant));
                                      });
    }
};

/// Targets whose client does not notice that an answer belongs to another task.
class crossed_targets final : public target_calls_base {
public:
    using target_calls_base::target_calls_base;

    void start(const target_endpoint& target, const lease_token& token, const start_order& order,
               result_callback done) override
    {
        target_calls_base::start(
            target, token, order,
            [this, done = std::move(done)](tl::expected<task_result, target_errc> result) {
                if (result)
                    std::swap(*result, last_);
                done(std::move(result));
            });
    }

private:
    task_result last_{task_id{"none"}, true, "another body"};
};

/// Targets whose answers name their own task but carry the body of the answer before.
class crossed_body_targets final : public target_calls_base {
public:
    using target_calls_base::target_calls_base;

    void start(const target_endpoint& target, const lease_token& token, const start_order& order,
               result_callback done) override
    {
        target_calls_base::start(
            target, token, order,
            [this, done = std::move(done)](tl::expected<task_result, target_errc> result) {
                if (result)
                    std::swap(result->body, last_body_);
                done(std::move(result));
            });
    }

private:
    std::string last_body_ = "another body";
};

/// Targets that claim not to have started what they did start.
class denying_targets final : public target_calls_base {
public:
    using target_calls_base::target_calls_base;

    void start(const target_endpoint& target, const lease_token& token, const start_order& order,
               result_callback done) override
    {
        target_calls_base::start(target, token, order,
                                 [done = std::move(done)](const tl::expected<task_result, target_errc>&) {
                                     done(tl::unexpected{target_errc::busy});
                                 });
    }
};

} // namespace mjm

#include "kernel/kernel.h"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace mjm;

namespace {

using trace = std::vector<std::string>;

class greeter {
public:
    virtual ~greeter() = default;
    [[nodiscard]] virtual int greet() const = 0;
};

class test_service : public service {
public:
    test_service(std::string name, trace& log) : name_{std::move(name)}, log_{log} {}
    ~test_service() override { log_.push_back("~" + name_); }
    tl::expected<void, start_failure> start(const kernel& /*services*/) override
    {
        log_.push_back("+" + name_);
        return {};
    }
    void stop() noexcept override { log_.push_back("-" + name_); }

private:
    std::string name_;
    trace& log_;
};

class greeting_service final : public test_service, public greeter {
public:
    using test_service::test_service;
    [[nodiscard]] int greet() const override { return 7; }
};

class failing_service final : public service {
public:
    explicit failing_service(bool throws) : throws_{throws} {}
    tl::expected<void, start_failure> start(const kernel& /*services*/) override
    {
        if (throws_)
            throw std::runtime_error("port taken");
        return tl::make_unexpected(start_failure{"port taken"});
    }
    void stop() noexcept override { std::terminate(); }

private:
    bool throws_;
};

/// Uses a needed service while starting.
class using_service final : public service {
public:
    tl::expected<void, start_failure> start(const kernel& services) override
    {
        const tl::expected<greeter*, lookup_errc> found = services.find<greeter>("greeter");
        value = found ? (*found)->greet() : -1;
        return {};
    }
    void stop() noexcept override {}
    int value = 0;
};

void must_add(kernel& k, const std::string& name, const std::vector<std::string>& needs, trace& log)
{
    REQUIRE(k.add(name, needs, std::make_unique<test_service>(name, log)));
}

} // namespace

TEST_CASE("services start after what they need, and stop and are destroyed in reverse")
{
    trace log;
    {
        kernel k;
        must_add(k, "front", {"shard", "net"}, log);
        must_add(k, "shard", {"net"}, log);
        must_add(k, "net", {}, log);
        REQUIRE(k.start());
        k.stop();
        k.stop();
        CHECK(log == trace{"+net", "+shard", "+front", "-front", "-shard", "-net"});
        log.clear();
    }
    CHECK(log == trace{"~front", "~shard", "~net"});
}

TEST_CASE("a kernel destroyed while running stops first and destroys dependants first")
{
    trace log;
    {
        kernel k;
        must_add(k, "b", {"a"}, log);
        must_add(k, "a", {}, log);
        REQUIRE(k.start());
    }
    CHECK(log == trace{"+a", "+b", "-b", "-a", "~b", "~a"});
}

TEST_CASE("a start that fails half-way stops what had started, and not the failed service")
{
    const bool throws = GENERATE(false, true);
    trace log;
    kernel k;
    must_add(k, "a", {}, log);
    must_add(k, "b", {"a"}, log);
    REQUIRE(k.add("c", {"b"}, std::make_unique<failing_service>(throws)));
    must_add(k, "d", {"c"}, log);
    const tl::expected<void, kernel_error> result = k.start();
    REQUIRE_FALSE(result);
    CHECK(result.error().code == kernel_errc::start_failed);
    CHECK(result.error().service == "c");
    CHECK(result.error().detail == "port taken");
    CHECK(log == trace{"+a", "+b", "-b", "-a"});
}

TEST_CASE("wrong registrations are typed errors and nothing starts")
{
    trace log;
    kernel k;
    must_add(k, "x", {}, log);
    CHECK(k.add("x", {}, std::make_unique<failing_service>(false)).error().code ==
          kernel_errc::duplicate_name);
    must_add(k, "a", {"b"}, log);
    SECTION("missing")
    {
        const kernel_error error = k.start().error();
        CHECK(error.code == kernel_errc::missing_dependency);
        CHECK(error.service == "a");
        CHECK(error.detail == "b");
    }
    SECTION("cycle, reported without the services that only lead to it")
    {
        must_add(k, "b", {"x", "c"}, log);
        must_add(k, "c", {"b"}, log);
        const kernel_error error = k.start().error();
        CHECK(error.code == kernel_errc::cycle);
        CHECK(error.detail == "b > c > b");
    }
    CHECK(log.empty());
}

TEST_CASE("lookup finds running services by name and interface only")
{
    trace log;
    kernel k;
    std::unique_ptr<using_service> user = std::make_unique<using_service>();
    const using_service& seen = *user;
    REQUIRE(k.add("user", {"greeter"}, std::move(user)));
    REQUIRE(k.add("greeter", {}, std::make_unique<greeting_service>("greeter", log)));
    CHECK(k.find<greeter>("greeter").error() == lookup_errc::not_running);
    REQUIRE(k.start());
    CHECK(seen.value == 7);
    CHECK(k.find<greeter>("user").error() == lookup_errc::wrong_type);
    CHECK(k.find<greeter>("other").error() == lookup_errc::unknown_name);
    CHECK(k.add("late", {}, std::make_unique<using_service>()).error().code == kernel_errc::already_started);
    k.stop();
    CHECK(k.find<greeter>("greeter").error() == lookup_errc::not_running);
}

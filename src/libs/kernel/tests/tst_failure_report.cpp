#include "kernel/failure_report.h"
#include "kernel/process_usage.h"

#include <catch2/catch.hpp>

#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>

using namespace mjm;

namespace {

struct child_result {
    int signal = 0; ///< The signal that ended the process, 0 if none did.
    std::string output;
};

/// Runs `body` in a process of its own, and returns what that wrote to standard error.
child_result run_in_child(const std::function<void()>& body)
{
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    const pid_t child = fork();
    if (child == 0) {
        dup2(ends[1], STDERR_FILENO);
        install_failure_reports();
        body();
        _exit(0);
    }
    close(ends[1]);
    child_result out;
    std::array<char, 1024> buf{};
    for (ssize_t n = 0; (n = read(ends[0], buf.data(), buf.size())) > 0;)
        out.output.append(buf.data(), static_cast<std::size_t>(n));
    close(ends[0]);
    int status = 0;
    waitpid(child, &status, 0);
    out.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    return out;
}

} // namespace

// Guards against a process that ends by an uncaught exception without a line in its log.
TEST_CASE("an uncaught exception is reported with its thread before the process ends")
{
    const child_result result = run_in_child([] {
        std::thread thread{[] {
            pthread_setname_np(pthread_self(), "decisions");
            throw std::runtime_error("no \"such\" target");
        }};
        thread.join();
    });
    CHECK(result.signal == SIGABRT);
    CHECK(result.output == R"({"level":"error","component":"process","event":"process_failed",)"
                           R"("fields":{"detail":"no ?such? target","thread":"decisions"}})"
                           "\n");
}

// Guards against a process that a signal such as that of a division by zero ends without a line in its log.
TEST_CASE("a fatal signal is reported before it ends the process")
{
    const child_result result = run_in_child([] { raise(SIGFPE); });
    CHECK(result.signal == SIGFPE);
    CHECK(result.output.find(R"("event":"process_failed","fields":{"detail":"SIGFPE")") != std::string::npos);
}

TEST_CASE("a failure that the process survives is reported, however long its text")
{
    const child_result result =
        run_in_child([] { report_failure("network_callback_failed", std::string(5000, 'x')); });
    CHECK(result.signal == 0);
    CHECK(result.output.find(R"("event":"network_callback_failed")") != std::string::npos);
    CHECK(result.output.find(R"(","thread":")") != std::string::npos);
    CHECK(result.output.size() <= 512);
    CHECK(result.output.back() == '\n');
}

TEST_CASE("the resident memory is between a page and the memory of any host")
{
    const std::optional<std::size_t> bytes = resident_memory();
    REQUIRE(bytes);
    CHECK(*bytes > 100'000);
    CHECK(*bytes < std::size_t{1} << 40U);
}

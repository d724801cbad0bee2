#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Writes what was sent, answered and run, with the time since the start of the script.
class record {
public:
    explicit record(const std::string& file) : out_{file} {}

    [[nodiscard]] std::int64_t now_ms() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                                     started_at_)
            .count();
    }

    void write(const std::string& line)
    {
        const std::lock_guard lock{mutex_};
        out_ << now_ms() << " ms  " << line << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    const std::chrono::steady_clock::time_point started_at_ = std::chrono::steady_clock::now();
};

} // namespace review

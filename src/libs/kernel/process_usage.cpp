#include "kernel/process_usage.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <string_view>
#include <system_error>

namespace mjm {

std::optional<std::size_t> resident_memory()
{
    // The fields are numbers of pages: the whole size, then what is resident.
    const int fd = open("/proc/self/statm", O_RDONLY | O_CLOEXEC);
    if (fd < 0)
        return std::nullopt;
    std::array<char, 128> buf{};
    const ssize_t n = read(fd, buf.data(), buf.size());
    close(fd);
    const std::string_view text{buf.data(), n > 0 ? static_cast<std::size_t>(n) : 0};
    const std::size_t space = text.find(' ');
    if (space == std::string_view::npos)
        return std::nullopt;
    std::size_t pages = 0;
    if (std::from_chars(text.data() + space + 1, text.data() + text.size(), pages).ec != std::errc{})
        return std::nullopt;
    return pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace mjm

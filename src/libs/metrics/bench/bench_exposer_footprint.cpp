// Prints the resident memory and thread count of a process with 500 series, before and after it starts
// prometheus-cpp's own HTTP exposer.

#include "metrics/metric_registry.h"

#include <prometheus/exposer.h>
#include <prometheus/registry.h>

#include <fstream>
#include <iostream>
#include <memory>
#include <string>

namespace {

void print_status(const char* label)
{
    std::ifstream in{"/proc/self/status"};
    std::string line;
    std::cout << label << ':';
    while (std::getline(in, line)) {
        if (line.starts_with("VmRSS:") || line.starts_with("RssAnon:") || line.starts_with("Threads:"))
            std::cout << ' ' << line;
    }
    std::cout << '\n';
}

} // namespace

int main()
{
    mjm::metric_registry registry;
    for (int n = 0; n < 500; ++n)
        registry.counter("series_total", "Series.", {{"n", std::to_string(n)}}).add();
    print_status("registry");
    // Both variants serialise the registry, so this belongs to the base.
    std::cout << "text bytes: " << registry.text().size() << '\n';
    print_status("text");
    const std::shared_ptr<prometheus::Registry> other = std::make_shared<prometheus::Registry>();
    prometheus::Exposer exposer{"127.0.0.1:0", 1};
    exposer.RegisterCollectable(other);
    print_status("text and exposer");
    return 0;
}

#include "kernel/kernel.h"

#include <algorithm>
#include <exception>
#include <map>

namespace mjm {

kernel::~kernel()
{
    stop();
    for (std::vector<entry*>::const_reverse_iterator it = order_.rbegin(); it != order_.rend(); ++it)
        (*it)->instance.reset();
}

tl::expected<void, kernel_error> kernel::add(std::string name, std::vector<std::string> needs,
                                             std::unique_ptr<service> instance)
{
    if (was_started_)
        return tl::make_unexpected(kernel_error{kernel_errc::already_started, name, ""});
    if (find_entry(name) != nullptr)
        return tl::make_unexpected(kernel_error{kernel_errc::duplicate_name, name, ""});
    entries_.push_back(
        std::make_unique<entry>(entry{std::move(name), std::move(needs), std::move(instance), false}));
    return {};
}

tl::expected<void, kernel_error> kernel::start()
{
    if (was_started_)
        return tl::make_unexpected(kernel_error{kernel_errc::already_started, "", ""});
    tl::expected<std::vector<entry*>, kernel_error> order = start_order();
    if (!order)
        return tl::make_unexpected(order.error());
    order_ = std::move(*order);
    was_started_ = true;
    for (entry* e : order_) {
        tl::expected<void, start_failure> result;
        try {
            result = e->instance->start(*this);
        } catch (const std::exception& ex) {
            result = tl::make_unexpected(start_failure{ex.what()});
        }
        if (!result) {
            stop();
            return tl::make_unexpected(
                kernel_error{kernel_errc::start_failed, e->name, result.error().detail});
        }
        e->running = true;
        ++running_;
    }
    return {};
}

void kernel::stop() noexcept
{
    while (running_ > 0) {
        entry* e = order_[--running_];
        e->instance->stop();
        e->running = false;
    }
}

kernel::entry* kernel::find_entry(std::string_view name) const
{
    for (const std::unique_ptr<entry>& e : entries_) {
        if (e->name == name)
            return e.get();
    }
    return nullptr;
}

tl::expected<service*, lookup_errc> kernel::find_service(std::string_view name) const
{
    const entry* e = find_entry(name);
    if (e == nullptr)
        return tl::make_unexpected(lookup_errc::unknown_name);
    if (!e->running)
        return tl::make_unexpected(lookup_errc::not_running);
    return e->instance.get();
}

tl::expected<std::vector<kernel::entry*>, kernel_error> kernel::start_order() const
{
    for (const std::unique_ptr<entry>& e : entries_) {
        for (const std::string& need : e->needs) {
            if (find_entry(need) == nullptr)
                return tl::make_unexpected(kernel_error{kernel_errc::missing_dependency, e->name, need});
        }
    }
    std::vector<entry*> order;
    std::map<std::string_view, bool> placed;
    while (order.size() < entries_.size()) {
        const std::size_t before = order.size();
        for (const std::unique_ptr<entry>& e : entries_) {
            const bool ready = std::all_of(e->needs.begin(), e->needs.end(),
                                           [&placed](const std::string& need) { return placed[need]; });
            if (placed[e->name] || !ready)
                continue;
            placed[e->name] = true;
            order.push_back(e.get());
        }
        if (order.size() != before)
            continue;
        // Every service left needs another one that is left, so following such needs ends in a cycle.
        std::vector<std::string> path;
        for (const std::unique_ptr<entry>& e : entries_) {
            if (!placed[e->name]) {
                path.push_back(e->name);
                break;
            }
        }
        while (std::count(path.begin(), path.end(), path.back()) < 2) {
            const std::vector<std::string>& needs = find_entry(path.back())->needs;
            path.push_back(*std::find_if(needs.begin(), needs.end(),
                                         [&placed](const std::string& need) { return !placed[need]; }));
        }
        const std::vector<std::string>::iterator first = std::find(path.begin(), path.end(), path.back());
        std::string detail = *first;
        for (std::vector<std::string>::iterator it = first + 1; it != path.end(); ++it)
            detail += " > " + *it;
        return tl::make_unexpected(kernel_error{kernel_errc::cycle, *first, detail});
    }
    return order;
}

} // namespace mjm

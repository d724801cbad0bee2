#pragma once

#include "fake_targets.h"
#include "fake_transaction_store.h"
#include "jobs/prefix_watch.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mjm {

/// Writes the registrations of a fleet's targets, with heartbeats, to the store.
class fake_registrations {
public:
    static constexpr std::string_view prefix = "registrations/";

    fake_registrations(virtual_loop& loop, fake_transaction_store& store, fake_fleet& fleet)
        : loop_{loop}, store_{store}, fleet_{fleet}
    {
    }

    /// Number of entries beside them that are written as often and name no target.
    std::size_t other_entries = 0;

    /// Writes changed registrations and the heartbeats that are due. Called often.
    void step();
    /// Returns the registration that a value of the store stands for; null if it names no target.
    [[nodiscard]] const target_info* decode(const std::string& value) const;

private:
    struct registration {
        std::string value;
        target_info info;
        timestamp next_heartbeat;
    };
    void write(const target_info& info);
    void write_other_entries();

    virtual_loop& loop_;
    fake_transaction_store& store_;
    fake_fleet& fleet_;
    std::map<target_id, registration> registered_;
    std::vector<target_info> written_;  ///< By the numbers that the values of the store consist of.
    std::vector<timestamp> next_other_; ///< When each of the other entries is written next.
};

/// Service discovery by the registrations in the store, as one entry host reads them.
class fake_store_directory final : public target_directory {
public:
    fake_store_directory(transaction_store& store, const clock& time, const fake_registrations& registrations)
        : store_{store}, time_{time}, registrations_{registrations}
    {
    }

    void open(handler h) override;
    void close() override { watch_.reset(); }
    void tick() override;
    [[nodiscard]] timestamp view_time() const override { return watch_ ? watch_->view_time() : timestamp{}; }

private:
    transaction_store& store_;
    const clock& time_;
    const fake_registrations& registrations_;
    std::unique_ptr<prefix_watch> watch_;
};

} // namespace mjm

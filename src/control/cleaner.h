#pragma once

#include <memory>
#include <optional>

#include "cloud/cloud_client.h"
#include "control/job_watcher.h"
#include "control/settings.h"
#include "duty/claim.h"
#include "duty/cleanup.h"
#include "events/event.h"

namespace lichendrift::control {

// What a cleaner needs of its controller.
class CleanerHost {
  public:
    virtual ~CleanerHost() = default;
    [[nodiscard]] virtual bool leading() const = 0;
    // Whether every controller is known to have fenced duties switched on.
    [[nodiscard]] virtual bool peers_fence_duties() const = 0;
    virtual void log(const events::Event& event) = 0;
};

// The duty of cleaning up: held by one controller, preferably not the leader, under a lease of its
// own. Looks at stored records page by page and removes what is certainly of no use.
class Cleaner {
  public:
    Cleaner(net::Runtime& runtime, const Settings& settings, store::StoreClient& store,
            cloud::CloudClient& cloud, JobWatcher& job_watcher, CleanerHost& host);

    void start();
    // Gives the duty up at once, for another controller to take.
    void hand_over();
    // The process ends: hands over, and takes nothing up again.
    void stop();
    [[nodiscard]] bool holds() const { return claim_ && claim_->held(); }
    // Placement records that belong to no job: there should be none.
    [[nodiscard]] std::uint64_t suspicious() const { return suspicious_; }

  private:
    // A page of placement records, with what is learned of their jobs.
    struct Page {
        std::vector<duty::PlacementEntry> entries;
        std::vector<std::string> jobs;  // of these, the terminal states are to be read
        std::map<std::string, duty::KnownJobState> states;
        std::map<std::string, duty::RecordVersion> proofs;
    };

    void look();
    [[nodiscard]] bool should_stand() const;
    void ask_lease();
    void take_lease(std::uint64_t lease, Millis sent);
    void won(std::uint64_t lease, Millis sent, std::uint64_t revision);
    void claim();
    void read_duty();
    void write_duty();
    void renew();
    void lose(events::DutyEnd how);
    [[nodiscard]] std::optional<duty::Permit> permit();

    void next_page_soon();
    void next_page();
    void read_placements();
    void choose_placements(const wire::ItemPage& read);
    void read_terminal_states(const std::shared_ptr<Page>& page, std::size_t at);
    void check_placements(const Page& page);
    void read_hints();
    void check_hints(const std::vector<duty::HintEntry>& hints,
                     const std::set<std::string>& listed);
    void remove(duty::RemovalPlan plan);
    void end_round();

    net::Runtime& runtime_;
    const Settings& settings_;
    store::StoreClient& store_;
    cloud::CloudClient& cloud_;
    JobWatcher& job_watcher_;
    CleanerHost& host_;
    std::optional<duty::Claim> claim_;
    std::uint64_t term_ = 0;  // of the lease; callbacks of earlier ones end
    std::uint64_t lease_ = 0;
    Millis valid_until_ = 0;
    Millis vacant_since_ = -1;  // since when nobody was seen to hold the duty; -1: somebody does
    std::string placements_since_;
    bool hints_due_ = false;
    Millis round_begins_ = 0;
    std::uint64_t removed_ = 0;
    std::uint64_t suspicious_ = 0;
    bool stopped_ = false;
};

}  // namespace lichendrift::control

// A gang that waits for its team's limit keeps the team's other jobs from running.
#include "../standin-2/case.hpp"

namespace site {
namespace {

int blocked(Deployment& site, bool trouble) {
    site.cloud->capacity = 8;
    site.cloud->boot_s = 4;
    start_all(site);
    const std::string team_name = "collections";
    constexpr double kLimit = 112;
    JobText service;
    service.image = "img-emi";
    service.pieces = 6;
    service.service = true;
    service.vcpus = 2;
    service.ram_gb = 6.4;
    service.rank = "prod";
    JobText gang;
    gang.image = "img-ledger";
    gang.pieces = 6;
    gang.gang = true;
    gang.vcpus = 15;
    gang.ram_gb = 100;
    gang.run_s = 70;
    JobText single;
    single.image = "img-ledger";
    single.vcpus = 4;
    single.ram_gb = 16;
    single.run_s = 10;

    double used = 0;  // CPUs that the team's tasks use
    std::set<std::string> on;
    site.on_start = [&](const std::string& piece, const Worker&, std::uint64_t) {
        on.insert(piece);
        used += site.jobs.at(piece.substr(0, piece.find('/'))).vcpus;
    };
    site.on_exit = [&](const std::string& piece, const Worker&, const std::string&) {
        on.erase(piece);
        used -= site.jobs.at(piece.substr(0, piece.find('/'))).vcpus;
    };
    for (const std::string uid : {"j-000031", "j-000032"}) {
        site.submit(uid, site.submission(uid, team_name, "emi-gateway", service), service);
    }
    site.run(30, [&] { return on.size() == 12; });
    if (on.size() != 12) {
        return finish(site, kCouldNotRun, "the services did not start");
    }
    site.log("both services run: the team uses " + std::to_string(used) + " of 112 CPUs");
    int gang_code = 0;
    if (trouble) {
        site.submit("j-000033", site.submission("j-000033", team_name, "ledger-close", gang), gang,
                    [&](int code) { gang_code = code; });
        site.run(now_s() + 10, [&] { return gang_code != 0; });
        if (gang_code != 200 && gang_code != 201) {
            return finish(site, kCouldNotRun, "the gang was not accepted");
        }
    }
    std::map<std::string, std::string> states;
    const std::vector<std::string> singles{"j-000034", "j-000035", "j-000036"};
    int accepted = 0;
    for (const std::string& uid : singles) {
        site.submit(uid, site.submission(uid, team_name, "receipts", single), single,
                    [&](int code) { accepted += code == 200 || code == 201; });
    }
    site.run(now_s() + 10, [&] { return accepted == 3; });
    if (accepted != 3) {
        return finish(site, kCouldNotRun, "the small jobs were not accepted");
    }
    double began = now_s();
    for (const std::string& uid : singles) {
        poll_regularly(site, uid, 5, states);
    }
    double most_used = 0;
    int done = 0;
    site.run(112, [&] {
        most_used = std::max(most_used, used);
        done = 0;
        for (const std::string& uid : singles) {
            done += states[uid] == "done";
        }
        return done == 3;
    });
    if (done == 3) {
        return finish(site, kHeld, "the accepted jobs are done");
    }
    bool room = most_used + single.vcpus <= kLimit;
    return finish(site, room ? kBroken : kCouldNotRun,
                  std::to_string(3 - done) + " accepted jobs of 4 CPUs are not done " +
                      std::to_string(static_cast<int>(now_s() - began)) +
                      " s after they were accepted; their team never used more than " +
                      std::to_string(static_cast<int>(most_used)) + " of 112 CPUs");
}

}  // namespace
}  // namespace site

int main(int argc, char** argv) {
    return site::run_case(argc, argv, site::small_sahyog(), site::blocked);
}

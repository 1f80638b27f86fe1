// Slots that are kept free for a class keep a job of another team from ever running.
#include "../standin-2/case.hpp"

namespace site {
namespace {

int kept(Deployment& site, bool trouble) {
    site.cloud->capacity = 6;
    site.cloud->boot_s = 4;
    site.cloud->add_running("honka", "tampere", 100);
    site.cloud->add_running("kuusi", "tampere", 100);
    start_all(site);
    JobText service;  // fills the machine of type kuusi
    service.image = "img-exam";
    service.image_gb = 1;
    service.pieces = 4;
    service.service = true;
    service.vcpus = 2;
    service.ram_gb = 3.2;
    service.rank = "prod";
    JobText pool;
    pool.image = "img-pool";
    pool.image_gb = 1.2;
    pool.gang = true;
    pool.vcpus = 30;
    pool.ram_gb = 51;
    pool.run_s = 30;
    JobText small;
    small.image = "img-mark";
    small.image_gb = 1;
    small.vcpus = 6;
    small.ram_gb = 8;
    small.run_s = 10;
    const std::string small_job = "j-000042";

    std::map<std::string, std::pair<double, double>> used;  // CPUs and GB by machine
    int replicas = 0, small_starts = 0;
    auto count = [&](const std::string& piece, const Worker& worker, double sign) {
        const JobText& text = site.jobs.at(piece.substr(0, piece.find('/')));
        used[worker.name].first += sign * text.vcpus;
        used[worker.name].second += sign * text.ram_gb;
        replicas += text.service ? static_cast<int>(sign) : 0;
    };
    site.on_start = [&](const std::string& piece, const Worker& worker, std::uint64_t) {
        count(piece, worker, 1);
        small_starts += piece.rfind(small_job, 0) == 0;
    };
    site.on_exit = [&](const std::string& piece, const Worker& worker, const std::string&) {
        count(piece, worker, -1);
    };
    Json service_body = site.submission("j-000041", "arviointi", "exam-serve", service);
    service_body["builds"] = Json::array({"kuusi"});
    site.submit("j-000041", service_body, service);
    site.run(30, [&] { return replicas == 4; });
    if (replicas != 4) {
        return finish(site, kCouldNotRun, "the service did not start");
    }
    std::map<std::string, std::string> states;
    int next_pool = 50;
    std::function<void()> next_build = [&] {
        std::string uid = "j-0000" + std::to_string(next_pool++);
        Json body = site.submission(uid, "kysymykset", "pool-build", pool);
        body["samePlace"] = true;
        site.submit(uid, body, pool);
        poll_regularly(site, uid, 5, states);
        site.timers.after(40, next_build);
    };
    if (trouble) {
        next_build();
    }
    site.run(now_s() + 4, [] { return false; });
    int code = 0;
    site.submit(small_job, site.submission(small_job, "keskukset", "marking", small), small,
                [&](int answer) { code = answer; });
    site.run(now_s() + 10, [&] { return code != 0; });
    if (code != 200 && code != 201) {
        return finish(site, kCouldNotRun, "the small job was not accepted");
    }
    double began = now_s(), without_room = now_s();
    poll_regularly(site, small_job, 5, states);
    // The time for which the machine honka has had room for the job without a break.
    site.run(112, [&] {
        const auto& [cpus, gb] = used["host-000001"];
        if (cpus + small.vcpus > 64 || gb + small.ram_gb > 128) {
            without_room = now_s();
        }
        return states[small_job] == "done";
    });
    if (states[small_job] == "done" || small_starts > 0) {
        return finish(site, kHeld, "the accepted job was started");
    }
    return finish(site, now_s() - without_room > 90 ? kBroken : kCouldNotRun,
                  "the accepted job of 6 CPUs was not started within " +
                      std::to_string(static_cast<int>(now_s() - began)) +
                      " s; a machine that is up and fits has had room for it for " +
                      std::to_string(static_cast<int>(now_s() - without_room)) + " s");
}

}  // namespace
}  // namespace site

int main(int argc, char** argv) {
    return site::run_case(argc, argv, site::ajokoe_with_kuusi(), site::kept);
}

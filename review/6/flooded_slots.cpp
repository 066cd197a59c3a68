// Bad clients send bodies of 60 MB and take every connection that the gateway allows for clients. The
// requests of the usual clients must still get their final answers in time.
#include "../support-2/rig.h"

namespace {

constexpr double kGraceS = 0.5;  // "up to half a second after its time it only earns nothing; later ... lost"
constexpr int kMemoryMb = 32;
constexpr int kSockets = 1024;
constexpr int kBadClients = 200;
constexpr double kBadFromS = 2;
constexpr size_t kBadBytes = 60 * 1000 * 1000;
constexpr int kUsualClients = 20;
constexpr int kTimeoutMs = 1000;
constexpr double kDurationS = 12;
constexpr double kPauseS = 0.2;  // between two requests of a usual client
constexpr double kLimitS = 20;   // for which an answer is awaited

}  // namespace

int main(int, char** arguments) {
  signal(SIGPIPE, SIG_IGN);
  std::string folder = arguments[1];
  rig::Record record(folder + "/record.txt");
  bool trouble = rig::HasTrouble();
  std::atomic<int> run{0};
  auto serve = [&](rig::Wire& wire) {
    rig::Message request;
    while (wire.ReadMessage(&request, rig::Now() + 100)) {
      ++run;
      rig::SleepS(0.02);
      if (!wire.Write(rig::Response(200, "OK", "fine"))) return;
    }
  };
  std::vector<std::unique_ptr<rig::Server>> backends;
  std::string entries;
  for (int i = 0; i < 10; ++i) {
    backends.push_back(std::make_unique<rig::Server>(serve));
    entries += (i > 0 ? "," : "") + rig::Discovery::Entry("s-" + std::to_string(i), backends.back()->port());
  }
  rig::Discovery discovery;
  discovery.Set(entries);
  rig::Counter counter;
  rig::Settings settings;
  settings.classes = {{"submit", "single_shot", 0.5, kTimeoutMs / 1000.0, 2}};
  settings.memory_mb = kMemoryMb;
  settings.sockets = kSockets;
  rig::TemporaryFolder temporary;
  int port = rig::FreePort();
  rig::Gateway gateway(temporary.File("config.json"),
                       rig::Config(settings, port, discovery.port(), counter.port(), discovery.List()),
                       temporary.File("log.txt"), port);
  if (!gateway.AwaitReady()) rig::Finish(&gateway, &temporary, 2);

  // A body of 60 MB on the wire, in chunks of one byte with an extension (RFC 9112, 7.1.1).
  std::string chunk = "1;x=" + std::string(4000, 'x') + "\r\ny\r\n";
  std::string piece;
  while (piece.size() < 200000) piece += chunk;
  std::atomic<bool> over{false};
  std::atomic<int> bad_open{0};
  std::atomic<int> bad_late{0};
  std::atomic<int> bad_ended{0};
  for (int i = 0; trouble && i < kBadClients; ++i) {
    std::thread([&, i] {
      rig::SleepS(kBadFromS);
      for (int n = 0; !over; ++n) {
        int fd = rig::Connect(port);
        if (fd < 0) return;
        double begun = rig::Now();
        rig::Wire wire(fd);
        ++bad_open;
        std::string id = "bad-" + std::to_string(i) + "-" + std::to_string(n);
        bool open = wire.Write(
            rig::Request("POST", "submit", id, kTimeoutMs, "", 0x800 + i, "Transfer-Encoding: chunked\r\n"));
        for (size_t sent = 0; open && sent < kBadBytes && !over; sent += piece.size())
          open = wire.Write(piece);
        rig::Message answer;
        if (!over) wire.ReadMessage(&answer, rig::Now() + 3);
        if (rig::Now() - begun > 6) ++bad_late;
        --bad_open;
        ++bad_ended;
      }
    }).detach();
  }

  std::mutex mutex;
  int sent_count = 0;
  int lost = 0;
  std::map<int, int> statuses;
  double begun = rig::Now();
  std::vector<std::thread> usual;
  for (int i = 0; i < kUsualClients; ++i) {
    usual.emplace_back([&, i] {
      std::unique_ptr<rig::Wire> wire;
      for (int n = 0; rig::Now() - begun < kDurationS; ++n) {
        std::string id = "usual-" + std::to_string(i) + "-" + std::to_string(n);
        double sent = rig::Now();
        rig::Message answer;
        bool whole = false;
        bool closed = false;
        for (int again = 0; again < 2 && !whole; ++again) {  // once more if a closing crossed the request
          closed = wire != nullptr;
          if (wire == nullptr) {
            int fd = rig::Connect(port);
            if (fd < 0) break;
            wire = std::make_unique<rig::Wire>(fd);
          }
          if (again > 0 || !closed) sent = rig::Now();
          whole = wire->Write(rig::Request("POST", "submit", id, kTimeoutMs, "x", 0x100 + i)) &&
                  wire->ReadMessage(&answer, sent + kLimitS);
          if (!whole) wire.reset();
          if (!whole && !closed) break;  // a new connection was closed, or nothing came
        }
        double after_s = rig::Now() - sent;
        bool late = after_s > kTimeoutMs / 1000.0 + kGraceS;  // a close in time is not judged
        {
          std::lock_guard<std::mutex> lock(mutex);
          ++sent_count;
          ++statuses[whole ? answer.status : 0];
          if (late) ++lost;
        }
        if (late) {
          record.Line("client    %s, sent %.3f s ago with a time of %d ms: %s %d", id.c_str(), after_s,
                      kTimeoutMs, whole ? "answered" : "no answer", answer.status);
        }
        rig::SleepS(kPauseS);
      }
    });
  }
  std::thread lines([&] {
    while (!over) {
      rig::SleepS(1);
      record.Line("platform  %d bad clients connected, %d ended, %d of them after over 6 s; %d requests run",
                  bad_open.load(), bad_ended.load(), bad_late.load(), run.load());
    }
  });
  for (std::thread& client : usual) client.join();
  over = true;
  lines.join();
  for (const auto& [status, count] : statuses)
    record.Line("client    %d requests ended with %d", count, status);
  record.Line("result    %d of %d requests of usual clients had no final answer %.1f s after their time",
              lost, sent_count, kGraceS);
  if (run < 20) rig::Finish(&gateway, &temporary, 2);
  rig::Finish(&gateway, &temporary, lost > 0 ? 1 : 0);
}

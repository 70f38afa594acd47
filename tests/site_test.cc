#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "filbertrack/change_log.h"
#include "filbertrack/server_directory.h"
#include "filbertrack/site_catalog.h"
#include "filbertrack/site_evacuations.h"
#include "filbertrack/site_regions.h"
#include "filbertrack/site_view_guard.h"
#include "filbertrack/store_absence.h"

namespace filbertrack {
namespace {

const TimePoint kStart{Seconds(1000)};
constexpr Duration kStall = Seconds(5);

Route MakeRoute(const std::string& name,
                const std::string& host,
                const std::string& prefix) {
  Route route;
  route.name = name;
  route.hostname = host;
  route.path_prefix = prefix;
  route.shares = {{"s", 1}};
  return route;
}

Catalog MakeCatalog(uint64_t version) {
  CatalogParts parts;
  parts.version = version;
  parts.routes = {MakeRoute("wide", "a.example", "/x/"),
                  MakeRoute("narrow", "a.example", "/x/y/"),
                  MakeRoute("other", "b.example", "/x/")};
  parts.workspaces = {{"w", 1}};
  parts.keys = {{"secret", 0}};
  parts.has_workspaces = true;
  return Catalog(std::move(parts));
}

BackendServer MakeMember(const std::string& id,
                         const std::string& group,
                         int rank,
                         MembershipState state) {
  BackendServer server;
  server.id = id;
  server.service = "llm";
  server.domain = "d";
  server.membership = Membership{group, 1, rank, state};
  return server;
}

BackendServer MakeFree(const std::string& id) {
  BackendServer server;
  server.id = id;
  server.service = "llm";
  server.domain = "d";
  return server;
}

TEST_CASE("the route with the longest matching prefix is selected") {
  const Catalog catalog = MakeCatalog(1);
  CHECK(catalog.FindRoute("a.example", "/x/y/z")->name == "narrow");
  CHECK(catalog.FindRoute("a.example", "/x/y/")->name == "narrow");
  CHECK(catalog.FindRoute("a.example", "/x/yz")->name == "wide");
  CHECK(catalog.FindRoute("b.example", "/x/y/z")->name == "other");
  CHECK(catalog.FindRoute("a.example", "/x") == nullptr);
  CHECK(catalog.FindRoute("c.example", "/x/") == nullptr);
  // A slash in the query is not part of the path.
  CHECK(catalog.FindRoute("a.example", "/x/a?b=/y/")->name == "wide");
}

TEST_CASE("keys are looked up, and older catalog versions are rejected") {
  const Catalog catalog = MakeCatalog(7);
  CHECK(catalog.FindWorkspace("secret")->name == "w");
  CHECK(catalog.FindWorkspace("wrong") == nullptr);
  CHECK(SupersedesCatalog(nullptr, catalog));
  const Catalog older = MakeCatalog(6);
  CHECK_FALSE(SupersedesCatalog(&catalog, older));
  CHECK_FALSE(SupersedesCatalog(&catalog, catalog));
}

TEST_CASE("services of a route are selected by weight") {
  Route route;
  route.shares = {{"a", 90}, {"b", 10}};
  CHECK(ChooseService(route, 0) == "a");
  CHECK(ChooseService(route, 0.89) == "a");
  CHECK(ChooseService(route, 0.91) == "b");
  CHECK(ChooseService(route, 0.999999) == "b");
}

TEST_CASE(
    "registrations that expire during a store outage are kept for a grace "
    "period") {
  // Guards against callers losing live servers after a store outage. The store
  // returns without the registrations of live servers; these register again
  // within two seconds, and a server that does not is removed.
  ServerDirectory directory{DirectoryPolicy{}};
  directory.Put(MakeFree("a"), kStart);
  directory.Put(MakeFree("b"), kStart);
  directory.OnStoreReturned(kStart + Seconds(10));
  const TimePoint returned = kStart + Seconds(10);
  CHECK_FALSE(directory.Remove("a", returned + Milliseconds(100)));
  CHECK_FALSE(directory.Remove("b", returned + Milliseconds(100)));
  CHECK(directory.Find("a") != nullptr);
  directory.Put(MakeFree("a"), returned + Seconds(1));
  REQUIRE(directory.NextExpiry());
  CHECK(directory.Expire(*directory.NextExpiry()));
  CHECK(directory.Find("a") != nullptr);
  CHECK(directory.Find("b") == nullptr);
}

TEST_CASE("a draining server is removed at once, even after an outage") {
  ServerDirectory directory{DirectoryPolicy{}};
  BackendServer draining_server = MakeFree("a");
  draining_server.draining = true;
  directory.Put(draining_server, kStart);
  directory.OnStoreReturned(kStart);
  CHECK(directory.Remove("a", kStart + Milliseconds(1)));
}

TEST_CASE("a member that leaves a group with an open head is held") {
  // Guards against a host that is assigned to two groups. A head behind a
  // network partition may still have requests of its group; if the member
  // joined another group now, the two groups would share a host.
  ServerDirectory directory{DirectoryPolicy{}};
  directory.Put(MakeMember("head", "g", 0, MembershipState::kOpen), kStart);
  directory.Put(MakeMember("b", "g", 1, MembershipState::kReady), kStart);
  directory.Put(MakeMember("c", "g", 2, MembershipState::kReady), kStart);
  directory.Put(MakeFree("b"), kStart + Seconds(1));
  CHECK(directory.IsHeld("b", kStall, kStart + Seconds(2)));
  // This holds at any later time: a head that is still registered may open
  // again.
  CHECK(directory.IsHeld("b", kStall, kStart + Seconds(60)));
  // The head's last report may be outdated; only a head that left the group is
  // known to have no requests.
  directory.Put(MakeFree("head"), kStart + Seconds(2));
  CHECK(directory.HeadLeft({"llm", "g", 1}));
  directory.Put(MakeFree("c"), kStart + Seconds(3));
  CHECK_FALSE(directory.IsHeld("c", kStall, kStart + Seconds(3)));
  CHECK_FALSE(directory.IsHeld("b", kStall, kStart + Seconds(3)));
  // A new membership ends the hold.
  directory.Put(MakeMember("b", "h", 1, MembershipState::kJoining),
                kStart + Seconds(4));
  CHECK_FALSE(directory.IsHeld("b", kStall, kStart + Seconds(4)));
}

TEST_CASE("a member that leaves a group with an unknown head is held") {
  ServerDirectory directory{DirectoryPolicy{}};
  directory.Put(MakeMember("b", "g", 1, MembershipState::kReady), kStart);
  directory.Put(MakeFree("b"), kStart + Seconds(1));
  CHECK(directory.IsHeld("b", kStall, kStart + Seconds(5)));
  CHECK_FALSE(directory.IsHeld("b", kStall, kStart + Seconds(7)));
}

TEST_CASE(
    "at the first listing, hosts without a group are held if groups exist") {
  ServerDirectory empty{DirectoryPolicy{}};
  empty.Put(MakeFree("a"), kStart);
  empty.OnInitialListing(kStart);
  CHECK_FALSE(empty.IsHeld("a", kStall, kStart));
  ServerDirectory running{DirectoryPolicy{}};
  running.Put(MakeFree("a"), kStart);
  running.Put(MakeMember("head", "g", 0, MembershipState::kOpen), kStart);
  running.OnInitialListing(kStart);
  CHECK(running.IsHeld("a", kStall, kStart));
}

TEST_CASE("a replica serves only if complete, ready and with an open head") {
  ServerDirectory directory{DirectoryPolicy{}};
  directory.Put(MakeMember("a", "g", 0, MembershipState::kOpen), kStart);
  CHECK_FALSE(IsServing(directory.Replicas("llm").front(), 2));
  directory.Put(MakeMember("b", "g", 1, MembershipState::kJoining), kStart);
  CHECK_FALSE(IsServing(directory.Replicas("llm").front(), 2));
  directory.Put(MakeMember("b", "g", 1, MembershipState::kReady), kStart);
  CHECK(IsServing(directory.Replicas("llm").front(), 2));
  BackendServer draining_server =
      MakeMember("b", "g", 1, MembershipState::kReady);
  draining_server.draining = true;
  directory.Put(draining_server, kStart);
  CHECK_FALSE(IsServing(directory.Replicas("llm").front(), 2));
}

TEST_CASE("property: Since() returns exactly the missed changes") {
  REQUIRE(rc::check("after Since(), both logs hold the same objects", [] {
    ChangeLog first(5);
    ChangeLog second(5);
    const auto changes = *rc::gen::container<std::vector<std::pair<int, bool>>>(
        rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::arbitrary<bool>()));
    const auto split = *rc::gen::inRange<size_t>(0, changes.size() + 1);
    uint64_t version = 0;
    for (size_t i = 0; i < changes.size(); ++i) {
      const LoggedObject object{std::to_string(changes[i].first), ++version,
                                changes[i].second ? "text" : ""};
      first.Put(object);
      first.AdvanceTo(version);
      if (i < split) {
        second.Put(object);
        second.AdvanceTo(version);
      }
    }
    const auto missed = first.Since(second.revision());
    if (missed) {
      for (const LoggedObject& object : *missed) {
        second.Put(object);
      }
      RC_ASSERT(first.All() == second.All());
    } else {
      // Only a log that compacted removals may return nullopt.
      RC_ASSERT(changes.size() > 5);
    }
  }));
}

TEST_CASE("an older version never replaces a newer one") {
  ChangeLog log(10);
  CHECK(log.Put({"a", 5, "new"}));
  CHECK_FALSE(log.Put({"a", 4, "old"}));
  CHECK_FALSE(log.Put({"a", 5, "same"}));
  CHECK(log.Put({"a", 6, ""}));
  CHECK(log.All().empty());
  CHECK(log.Since(5)->size() == 1);
}

TEST_CASE("a store outage is distinguished from one host's lost connection") {
  // After an outage, servers with expired registrations are kept. Changes that
  // peers report during the absence show that the store served them, except for
  // changes in transit when it began; the first host to reconnect after an
  // outage has received no others.
  const TimePoint lost{Seconds(100)};
  const auto returns = [lost](std::optional<Duration> told, Duration after) {
    StoreOutageDetector absence;
    absence.OnLost(lost);
    CHECK(absence.is_unreachable());
    if (told) {
      absence.OnPeersAhead(lost + *told);
    }
    const bool for_all = absence.OnReturned(lost + after);
    CHECK_FALSE(absence.is_unreachable());
    return for_all;
  };
  CHECK(returns(std::nullopt, Seconds(5)));
  CHECK(returns(Milliseconds(150), Seconds(5)));
  CHECK_FALSE(returns(Seconds(3), Seconds(5)));
  // An absence too short for any registration to expire.
  CHECK_FALSE(returns(Milliseconds(150), Milliseconds(300)));
  CHECK_FALSE(returns(std::nullopt, Milliseconds(50)));
  CHECK_FALSE(returns(std::nullopt, Milliseconds(999)));
  CHECK(returns(std::nullopt, Milliseconds(1000)));
}

TEST_CASE(
    "a view is outdated after a pause until a later question confirms it") {
  // Guards against requests by a view from before the process stood still, and
  // against a reply from before it that confirms the view.
  const ViewGuardPolicy policy;
  const TimePoint start{Seconds(100)};
  ViewGuard guard(policy);
  CHECK_FALSE(guard.IsOutdated(start));
  guard.OnTick(start);
  CHECK_FALSE(guard.IsOutdated(start + policy.max_pause));
  const TimePoint continued = start + Seconds(2);
  CHECK(guard.IsOutdated(continued));
  CHECK(guard.last_pause() == Seconds(2));
  guard.OnConfirmed(start);
  CHECK(guard.IsOutdated(continued));
  guard.OnConfirmed(continued);
  CHECK_FALSE(guard.IsOutdated(continued));
}

TEST_CASE("an outdated view is used again if no peer answers") {
  // Guards against a host that refuses all requests while it is cut off.
  const ViewGuardPolicy policy;
  const TimePoint start{Seconds(100)};
  const TimePoint continued = start + Seconds(2);
  ViewGuard guard(policy);
  guard.OnTick(start);
  guard.OnTick(continued);
  CHECK(guard.IsOutdated(continued + policy.max_wait - Milliseconds(1)));
  CHECK_FALSE(guard.IsOutdated(continued + policy.max_wait));
  // Another pause begins anew.
  CHECK(guard.IsOutdated(continued + Seconds(2)));
}

TEST_CASE("an outage ended no later than the first answer to any host") {
  // Guards against servers that are kept too long after they left, since one of
  // several hosts that had all lost the store came back to it late.
  const TimePoint lost{Seconds(100)};
  const TimePoint first_answer = lost + Milliseconds(3000);
  const TimePoint returned = first_answer + Milliseconds(500);
  StoreOutageDetector own;
  own.OnLost(lost);
  own.OnAnswered(returned);
  CHECK(own.returned() == returned);
  own.OnPeerService({first_answer, returned});
  CHECK(own.returned() == first_answer);
  StoreOutageDetector told;
  told.OnPeerService({first_answer, returned});
  CHECK(told.OnPeerSawReturn(returned));
  CHECK(told.returned() == first_answer);
}

TEST_CASE("servers are kept no longer than the corrected return allows") {
  const DirectoryPolicy policy;
  const TimePoint returned{Seconds(100)};
  ServerDirectory directory(policy);
  BackendServer server;
  server.id = "s1";
  directory.Put(server, returned - Seconds(5));
  directory.OnStoreReturned(returned);
  CHECK_FALSE(directory.Remove("s1", returned + Milliseconds(100)));
  directory.OnStoreReturned(returned - Milliseconds(500));
  CHECK(directory.NextExpiry() ==
        returned - Milliseconds(500) + policy.expiry_grace);
  // Another outage does not keep it longer.
  directory.OnStoreReturned(returned + Seconds(1));
  CHECK(directory.NextExpiry() ==
        returned - Milliseconds(500) + policy.expiry_grace);
}

BackendServer MakeMember(const std::string& id,
                         int rank,
                         uint64_t process_start_ms) {
  BackendServer server;
  server.id = id;
  server.process_start_ms = process_start_ms;
  server.service = "llm";
  server.membership =
      Membership{"m/1", 1, rank,
                 rank == 0 ? MembershipState::kOpen : MembershipState::kReady};
  return server;
}

TEST_CASE("a member restarted under its id is missing from its group") {
  // Guards against a stalled group being treated as serving. The member's new
  // process reports that it is in no group. A late order to join may bring it
  // back under the same name and epoch, but the head stays stalled.
  ServerDirectory directory{DirectoryPolicy{}};
  directory.Put(MakeMember("a", 0, 100), kStart);
  directory.Put(MakeMember("b", 1, 100), kStart);
  REQUIRE(IsServing(directory.Replicas("llm").front(), 2));
  BackendServer restarted = MakeMember("b", 1, 200);
  SUBCASE("in no group") {
    restarted.membership.reset();
  }
  SUBCASE("brought back by a late order") {}
  CHECK(directory.Put(restarted, kStart + Seconds(1)));
  CHECK_FALSE(IsServing(directory.Replicas("llm").front(), 2));
  CHECK_FALSE(directory.IsHeld("b", kStall, kStart + Seconds(1)));
  // A late registration of the earlier process changes nothing.
  CHECK_FALSE(directory.Put(MakeMember("b", 1, 100), kStart + Seconds(2)));
  CHECK(directory.Find("b")->process_start_ms == 200);
  CHECK_FALSE(IsServing(directory.Replicas("llm").front(), 2));
}

TEST_CASE(
    "a late registration of an ended process is ignored after its removal") {
  ServerDirectory directory{DirectoryPolicy{}};
  directory.Put(MakeMember("a", 0, 200), kStart);
  CHECK(directory.Remove("a", kStart + Seconds(1)));
  CHECK_FALSE(directory.Put(MakeMember("a", 0, 100), kStart + Seconds(2)));
  CHECK(directory.Find("a") == nullptr);
  CHECK(directory.Put(MakeMember("a", 0, 200), kStart + Seconds(3)));
}

TEST_CASE("a restarted head has no requests of its group") {
  // Guards against members being held for the full stall time although the head
  // restarted. They are held if the head only lost its registration.
  ServerDirectory directory{DirectoryPolicy{}};
  directory.Put(MakeMember("a", 0, 100), kStart);
  directory.Put(MakeMember("b", 1, 100), kStart);
  BackendServer member = MakeMember("b", 1, 100);
  member.membership.reset();
  directory.Put(member, kStart + Seconds(1));
  CHECK(directory.IsHeld("b", kStall, kStart + Seconds(1)));
  BackendServer head = MakeMember("a", 0, 200);
  head.membership.reset();
  directory.Put(head, kStart + Seconds(2));
  CHECK(directory.HeadLeft({"llm", "m/1", 1}));
  CHECK_FALSE(directory.IsHeld("b", kStall, kStart + Seconds(2)));
}

TEST_CASE("a server with an unreadable registration is removed at once") {
  // The store has just returned, so an expired registration would be kept.
  ServerDirectory directory{DirectoryPolicy{}};
  directory.Put(MakeMember("a", 0, 100), kStart);
  directory.OnStoreReturned(kStart);
  CHECK(directory.Discard("a", kStart + Milliseconds(100)));
  CHECK(directory.Find("a") == nullptr);
  CHECK_FALSE(directory.Discard("a", kStart + Milliseconds(200)));
  CHECK(directory.Put(MakeMember("a", 0, 100), kStart + Seconds(1)));
}

TEST_CASE("the evacuation state with the latest store revision wins") {
  // Guards against a stale read, or a peer that missed a change, reverting the
  // end of an evacuation or ending an active one.
  SiteEvacuations known;
  CHECK(known.News().revision == 0);
  CHECK_FALSE(known.OnList({}, 10));
  CHECK(known.News().revision == 0);
  CHECK(known.OnPeerUpdate({15, {"a"}}));
  CHECK_FALSE(known.OnList({}, 12));
  CHECK(known.Contains("a"));
  CHECK_FALSE(known.OnPeerUpdate({15, {"a"}}));
  CHECK(known.OnList({"a", "b"}, 20));
  CHECK_FALSE(known.OnPeerUpdate({18, {}}));
  CHECK(known.Contains("b"));
  CHECK(known.OnList({}, 30));
  CHECK(known.News() == EvacuationUpdate{30, {}});
}

TEST_CASE("a peer that missed the end of an evacuation receives it") {
  // Guards against a peer that stays outdated: a host that listed the store
  // after the end of an evacuation has no update to send, and the peer has no
  // access to the store.
  SiteEvacuations fresh;
  fresh.OnList({}, 30);
  SiteEvacuations behind;
  behind.OnList({"a"}, 20);
  CHECK_FALSE(fresh.OnPeerUpdate(behind.News()));
  CHECK(behind.OnPeerUpdate(fresh.News()));
  CHECK_FALSE(behind.Contains("a"));
}

TEST_CASE("a malformed region entry rejects the whole list") {
  const auto regions = ParseRegions("a:one,b:two");
  REQUIRE(regions);
  CHECK(RegionOf(*regions, "b") == "two");
  CHECK(RegionOf(*regions, "c").empty());
  CHECK(ParseRegions("")->empty());
  for (const char* bad : {"a", "a:", ":one", "a:one,,b:two"}) {
    CHECK_FALSE(ParseRegions(bad));
  }
}

TEST_CASE("a server is cold while it reports so or is assumed to be") {
  // Guards against a server that is treated as warm because it no longer
  // reports itself as cold, although its assumed cold period has not ended.
  ServerDirectory directory{DirectoryPolicy{}};
  BackendServer server;
  server.id = "s";
  server.cold_left = Seconds(3);
  const TimePoint now{Seconds(100)};
  directory.Put(server, now);
  CHECK(directory.ColdUntil("s", now) == now + Seconds(3));
  directory.AssumeCold("s", now + Seconds(1));
  server.cold_left = Duration(0);
  directory.Put(server, now);
  CHECK(directory.ColdUntil("s", now) == now + Seconds(1));
  CHECK_FALSE(directory.ColdUntil("s", now + Seconds(1)));
}

}  // namespace
}  // namespace filbertrack

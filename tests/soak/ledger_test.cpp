// The soak's checks see each kind of broken promise.
#include "soak/ledger.hpp"

#include <catch2/catch.hpp>

using namespace soak;

namespace
{

struct story
{
    ledger notes;
    moment now = clock_type::now();

    void sent(const std::string& attempt, request_kind kind, int status)
    {
        asked what;
        what.kind = kind;
        what.key = "acme-1";
        what.sent_at = now;
        what.status = status;
        what.complete = true;
        what.is_signed = status == 200;
        what.body = status == 200 ? answer_to(kind, attempt) : "";
        notes.note_asked(attempt, what);
    }

    ran run_of(const std::string& attempt, request_kind kind) const
    {
        return {
            attempt,
            "u1",
            method_of(kind),
            path_of(kind),
            body_of(kind, attempt),
            "acme",
            false,
            now};
    }
};

} // namespace

TEST_CASE("a run that keeps its promises has nothing broken")
{
    story tale;
    tale.sent("a1", request_kind::order, 200);
    tale.notes.note_run(tale.run_of("a1", request_kind::order));
    CHECK(tale.notes.broken().empty());
    CHECK(tale.notes.served_between(tale.now, moment::max()).second == 1);

    SECTION("but an order that runs twice is seen")
    {
        tale.notes.note_run(tale.run_of("a1", request_kind::order));
        CHECK(tale.notes.broken().size() == 1);
    }
    SECTION("and one that ran though it was refused")
    {
        tale.sent("a2", request_kind::order, 503);
        tale.notes.note_run(tale.run_of("a2", request_kind::order));
        CHECK(tale.notes.broken().size() == 1);
    }
    SECTION("and a run that nobody asked for")
    {
        tale.notes.note_run(tale.run_of("a9", request_kind::order));
        CHECK(tale.notes.broken().size() == 1);
    }
    SECTION("and a success without a run")
    {
        tale.sent("a3", request_kind::lookup, 200);
        CHECK(tale.notes.broken().size() == 1);
    }
    SECTION("and a stream that is whole but lacks an event")
    {
        tale.sent("a4", request_kind::chat, 200);
        asked what;
        what.kind = request_kind::chat;
        what.key = "acme-1";
        what.sent_at = tale.now;
        what.status = 200;
        what.complete = true;
        what.is_signed = true;
        what.body = event_text("a4", 1) + event_text("a4", 3);
        tale.notes.note_asked("a4", what);
        tale.notes.note_run(tale.run_of("a4", request_kind::chat));
        CHECK(tale.notes.broken().size() == 1);

        what.complete = false;
        tale.notes.note_asked("a4", what);
        CHECK(tale.notes.broken().size() == 1);
        what.body = event_text("a4", 1) + event_text("a4", 2);
        tale.notes.note_asked("a4", what);
        CHECK(tale.notes.broken().empty());
    }
    SECTION("and a run after the key was taken away, or the upstream drained")
    {
        tale.notes.note_revoked("acme-1", tale.now - 2 * revoke_time);
        CHECK(tale.notes.broken().size() == 1);
        tale.notes.note_drained("u1", tale.now - 2 * drain_time);
        CHECK(tale.notes.broken().size() == 2);
    }
    SECTION("and a key or another account at the upstream")
    {
        tale.sent("a5", request_kind::lookup, 0);
        ran one = tale.run_of("a5", request_kind::lookup);
        one.has_key = true;
        one.account = "zeta";
        tale.notes.note_run(one);
        CHECK(tale.notes.broken().size() == 2);
    }
}

#include <bergamotusher/error_kind.hpp>

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace bergamotusher;

TEST_CASE("every error kind has an answer with its own name")
{
    std::set<std::string> names;
    const int last = static_cast<int>(error_kind::internal);
    for (int value = 1; value <= last; ++value)
    {
        const auto kind = static_cast<error_kind>(value);
        const error_answer& answer = error_answer_for(kind);
        CHECK(answer.kind == kind);
        CHECK(answer.http_status >= 400);
        CHECK(names.insert(std::string(answer.name)).second);
    }
}

TEST_CASE("an error kind converts to std::error_code and back")
{
    std::error_code error = error_kind::no_quorum;
    CHECK(kind_of(error) == error_kind::no_quorum);

    SECTION("an error code of another category converts to internal")
    {
        error = std::make_error_code(std::errc::io_error);
        CHECK(kind_of(error) == error_kind::internal);
    }
}

// Answers of a faulty upstream that do not end, for tests of what a process
// that reads them keeps.
#pragma once

#include <string>
#include <vector>

namespace bergamotusher::fakes
{

/// Bytes that begin an answer, and bytes that follow them again and again.
struct endless_answer
{
    std::string name;
    std::string begin;
    std::string block;
};

/// The kinds of endless answers; `fields` are header lines that identify the
/// answer, each with its line end.
std::vector<endless_answer> endless_answers(const std::string& fields);

} // namespace bergamotusher::fakes

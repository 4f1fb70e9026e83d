#include "admission/connection_gate.hpp"

namespace bergamotusher::admission
{

bool open_connection(
    connection_gate& gate, const account_id& account, std::size_t limit)
{
    const auto found = gate.by_account.find(account);
    const std::size_t own = found == gate.by_account.end() ? 0 : found->second;
    if (gate.open >= gate.limit || own >= limit)
    {
        ++gate.refused;
        return false;
    }
    ++gate.open;
    ++gate.by_account[account];
    return true;
}

void close_connection(connection_gate& gate, const account_id& account)
{
    const auto found = gate.by_account.find(account);
    if (found == gate.by_account.end())
        return;
    --gate.open;
    if (--found->second == 0)
        gate.by_account.erase(found);
}

} // namespace bergamotusher::admission

// Random histories of claim homes on a small store.
#include "protocol/claim_world.hpp"

#include <algorithm>
#include <set>

namespace auburnlb::test
{
namespace
{

constexpr std::uint64_t key_count = 8;

std::string text_of(request_id const& id)
{
    return to_string(id);
}

} // namespace

claim_world::claim_world(std::uint64_t seed, coverage& seen)
    : random_(seed)
    , seen_(seen)
{
    processes_.resize(process_count);
    for (std::size_t at = 0; at < process_count; ++at)
    {
        processes_[at].address_ = "home" + std::to_string(at);
        restart(processes_[at]);
    }
    if (pick(3) != 0)
    {
        run_without_faults(4);
    }
}

std::string claim_world::key_name(std::uint64_t key) const
{
    return "workspace/" + std::to_string(key);
}

void claim_world::fail(std::string text)
{
    if (failure_.empty())
    {
        failure_ = std::move(text);
    }
}

void claim_world::restart(process& target)
{
    shard_owner_settings settings;
    settings.retry_interval_ = milliseconds{10};
    settings.store_timeout_ = milliseconds{200};
    // Small enough that outcomes are sometimes dropped.
    settings.max_outcome_bytes_ = 150;
    target.incarnation_ = next_incarnation_++;
    target.home_ = make_shard_owner("desk", shard_count,
                                    {target.incarnation_, 1}, settings);
    target.takeover_ = {};
    target.takeover_.service_ = "desk";
    target.takeover_.shard_count_ = shard_count;
    target.released_.clear();
    target.is_paused_ = false;
}

void claim_world::crash(std::size_t at)
{
    ++seen_.crashes_;
    for (auto& call : store_calls_)
    {
        call.is_abandoned_ |= call.process_ == at;
    }
    std::erase_if(endpoint_calls_, [&](endpoint_call const& call)
                  { return call.process_ == at; });
    restart(processes_[at]);
}

std::size_t claim_world::home_or_any(std::string const& key)
{
    for (std::size_t at = 0; at < process_count; ++at)
    {
        if (table_ && pick(4) != 0 &&
            processes_[at].address_ == owner_of(*table_, key).address_)
        {
            return at;
        }
    }
    return pick(process_count);
}

void claim_world::deliver_call()
{
    if (!sent_calls_.empty() && pick(4) == 0)
    {
        // A frame that arrives twice. An entry looks at the first answer only,
        // and only at that of the incarnation to which it sent the frame.
        sent_call const& sent = sent_calls_[pick(sent_calls_.size())];
        process const& target = processes_[sent.process_];
        if (!target.is_paused_ && target.incarnation_ == sent.incarnation_ &&
            !finished_requests_.contains(sent.call_.request_))
        {
            feed(sent.process_, claim_event{sent.call_});
        }
        return;
    }
    call_arrived call;
    call.request_ = {1, next_request_++};
    call.key_ = key_name(pick(key_count));
    call.fingerprint_ = 7;
    std::size_t const at = home_or_any(call.key_);
    if (processes_[at].is_paused_)
    {
        return;
    }
    call.deadline_ = now_ + milliseconds{pick(600)};
    call.is_lookup_ = pick(12) == 0;
    keys_of_requests_[call.request_] = make_key_id(call.key_);
    if (!call.is_lookup_)
    {
        sent_calls_.push_back({at, processes_[at].incarnation_, call});
    }
    feed(at, claim_event{call});
}

claim_view claim_world::view_of(process const& self, bool is_truthful)
{
    claim_view view;
    view.address_ = self.address_;
    view.log_ = self.home_.log_;
    if (self.home_.is_fenced_)
    {
        ++view.log_.epoch_;
    }
    view.ownership_ = self.home_.shards_;
    view.released_ = self.released_;
    view.wall_clock_ms_ = 1'000;
    std::set<incarnation_id> present;
    for (auto const& other : processes_)
    {
        bool const is_trusted = is_truthful || pick(3) != 0;
        if (is_trusted || other.address_ == self.address_)
        {
            view.live_addresses_.push_back(other.address_);
            present.insert(other.incarnation_);
        }
    }
    for (incarnation_id each = first_incarnation; each < next_incarnation_;
         ++each)
    {
        if (!present.contains(each))
        {
            view.dead_incarnations_.push_back(each);
        }
    }
    return view;
}

void claim_world::start_takeover(std::size_t at, bool is_truthful)
{
    if (processes_[at].takeover_.phase_ == takeover_phase::idle)
    {
        feed(at, takeover_event{
                     takeover_started{view_of(processes_[at], is_truthful)}});
    }
}

void claim_world::release(std::size_t at)
{
    release_requested wanted;
    auto const& shards = processes_[at].home_.shards_;
    for (std::uint32_t shard = 0; shard < shards.size(); ++shard)
    {
        if (shards[shard] == shard_ownership::owned && pick(2) == 0)
        {
            wanted.shards_.push_back(shard);
        }
    }
    feed(at, claim_event{wanted});
}

void claim_world::finish_call(bool is_kind)
{
    if (endpoint_calls_.empty())
    {
        return;
    }
    std::size_t const at = pick(endpoint_calls_.size());
    endpoint_call const call = endpoint_calls_[at];
    if (processes_[call.process_].is_paused_)
    {
        return;
    }
    endpoint_calls_.erase(endpoint_calls_.begin() +
                          static_cast<std::ptrdiff_t>(at));
    call_finished finished{call.key_, call_status::not_sent, nullptr};
    if (call.is_sent_)
    {
        bool const is_lost = !is_kind && pick(8) == 0;
        finished.end_ = is_lost ? call_status::lost : call_status::answered;
        finished.outcome_ = std::make_shared<call_outcome const>(
            call_outcome{200, {}, std::to_string(call.key_.low_)});
    }
    feed(call.process_, claim_event{finished});
}

void claim_world::execute(store_call& call)
{
    call.is_executed_ = true;
    if (auto const* put = std::get_if<put_segment>(&call.body_))
    {
        claim_segment const& segment = put->segment_;
        std::string const name =
            segment_name("desk", segment.log_, segment.number_);
        call.status_ = segments_.try_emplace(name, segment).second
                           ? put_status::created
                           : put_status::conflict;
    }
    else if (auto const* read = std::get_if<read_segment>(&call.body_))
    {
        auto const found =
            segments_.find(segment_name("desk", read->log_, read->number_));
        call.segment_.reset();
        if (found != segments_.end())
        {
            call.segment_ = found->second;
        }
    }
    else if (auto const* list = std::get_if<list_log>(&call.body_))
    {
        std::string const prefix = log_prefix("desk", list->log_);
        call.segments_.clear();
        for (auto const& [name, segment] : segments_)
        {
            if (name.starts_with(prefix))
            {
                call.segments_.push_back(segment);
            }
        }
    }
    else if (auto const* change = std::get_if<put_table>(&call.body_))
    {
        call.status_ = put_status::conflict;
        if (change->expected_version_ == table_version_)
        {
            table_ = change->table_;
            ++table_version_;
            call.status_ = put_status::created;
        }
    }
    else
    {
        call.table_ = {false, table_version_, table_};
    }
}

void claim_world::execute_store_call()
{
    if (store_calls_.empty())
    {
        return;
    }
    std::size_t const at = pick(store_calls_.size());
    store_call& call = store_calls_[at];
    if (call.is_executed_)
    {
        return;
    }
    if (pick(10) == 0)
    {
        // The request is delivered a second time, at some later moment.
        store_call copy = call;
        copy.is_abandoned_ = true;
        store_calls_.push_back(copy);
    }
    execute(store_calls_[at]);
    if (store_calls_[at].is_abandoned_)
    {
        store_calls_.erase(store_calls_.begin() +
                           static_cast<std::ptrdiff_t>(at));
    }
}

void claim_world::answer_store_call(bool is_kind)
{
    std::vector<std::size_t> ready;
    for (std::size_t at = 0; at < store_calls_.size(); ++at)
    {
        store_call const& call = store_calls_[at];
        if (!call.is_abandoned_ && !processes_[call.process_].is_paused_ &&
            (call.is_executed_ || (!is_kind && pick(5) == 0)))
        {
            ready.push_back(at);
        }
    }
    if (ready.empty())
    {
        return;
    }
    std::size_t const at = ready[pick(ready.size())];
    store_call const call = store_calls_[at];
    bool const is_lost = !call.is_executed_ || (!is_kind && pick(5) == 0);
    if (call.is_executed_)
    {
        store_calls_.erase(store_calls_.begin() +
                           static_cast<std::ptrdiff_t>(at));
    }
    else
    {
        store_calls_[at].is_abandoned_ = true;
    }
    answer(call, is_lost);
}

void claim_world::answer(store_call const& call, bool is_lost)
{
    std::size_t const at = call.process_;
    put_status const status = is_lost ? put_status::lost : call.status_;
    if (auto const* put = std::get_if<put_segment>(&call.body_))
    {
        if (call.is_of_takeover_)
        {
            feed(at, takeover_event{seal_finished{status}});
            return;
        }
        feed(at, claim_event{put_finished{put->segment_.number_, status}});
    }
    else if (auto const* read = std::get_if<read_segment>(&call.body_))
    {
        feed(at,
             claim_event{segment_read{read->number_, is_lost, call.segment_}});
    }
    else if (std::holds_alternative<list_log>(call.body_))
    {
        feed(at, takeover_event{log_listed{is_lost, call.segments_}});
    }
    else if (std::holds_alternative<put_table>(call.body_))
    {
        feed(at, takeover_event{table_put_finished{status}});
    }
    else
    {
        table_read read = call.table_;
        read.is_failed_ = is_lost;
        feed(at, takeover_event{read});
    }
}

void claim_world::advance(milliseconds step)
{
    now_ += step;
    for (std::size_t at = 0; at < process_count; ++at)
    {
        if (!processes_[at].is_paused_)
        {
            feed(at, claim_event{tick{}});
        }
    }
}

void claim_world::feed(std::size_t at, claim_event const& event)
{
    for (auto const& action : apply(processes_[at].home_, event, now_))
    {
        act(at, action);
    }
}

void claim_world::feed(std::size_t at, takeover_event const& event)
{
    for (auto const& action : apply(processes_[at].takeover_, event))
    {
        act(at, action);
    }
}

void claim_world::check_answer(respond_to_call const& answer)
{
    auto const& id = answer.request_;
    finished_requests_.insert(id);
    int const count = executions_[keys_of_requests_.at(id)];
    switch (answer.run_state_)
    {
    case run_state::not_run:
        ++seen_.not_run_;
        not_run_requests_.insert(id);
        if (run_requests_.contains(id))
        {
            fail(text_of(id) + " was told not_run and had run");
        }
        return;
    case run_state::unknown:
        ++seen_.unknown_;
        return;
    case run_state::ran:
        seen_.replays_ += answer.is_replay_ ? 1 : 0;
        if (count != 1)
        {
            fail(text_of(id) + " was told ran and had not");
        }
        if (answer.outcome_ &&
            answer.outcome_->body_ !=
                std::to_string(keys_of_requests_.at(id).low_))
        {
            fail(text_of(id) + " got another key's outcome");
        }
        return;
    }
}

void claim_world::act(std::size_t at, claim_action const& action)
{
    process& self = processes_[at];
    if (auto const* put = std::get_if<put_segment>(&action))
    {
        add_store_call(at, false, *put);
    }
    else if (auto const* read = std::get_if<read_segment>(&action))
    {
        add_store_call(at, false, *read);
    }
    else if (auto const* run = std::get_if<run_call>(&action))
    {
        bool const is_sent = is_settling_ || pick(10) != 0;
        endpoint_calls_.push_back({at, run->key_, is_sent});
        if (!is_sent)
        {
            return;
        }
        ++seen_.executions_;
        run_requests_.insert(run->request_);
        if (not_run_requests_.contains(run->request_))
        {
            fail(text_of(run->request_) + " runs after it was told not_run");
        }
        if (++executions_[run->key_] > 1)
        {
            fail("a key ran twice");
        }
    }
    else if (auto const* answer = std::get_if<respond_to_call>(&action))
    {
        check_answer(*answer);
    }
    else if (std::holds_alternative<owner_fenced>(action))
    {
        ++seen_.fenced_;
    }
    else if (auto const* released = std::get_if<shards_released>(&action))
    {
        ++seen_.releases_;
        self.released_.insert(self.released_.end(), released->shards_.begin(),
                              released->shards_.end());
    }
}

void claim_world::act(std::size_t at, takeover_action const& action)
{
    process& self = processes_[at];
    if (auto const* ended = std::get_if<takeover_ended>(&action))
    {
        if (ended->is_log_sealed_)
        {
            feed(at, claim_event{log_sealed{ended->acquired_.log_}});
        }
        if (ended->is_failed_)
        {
            return;
        }
        seen_.takeovers_ += ended->acquired_.shards_.empty() ? 0 : 1;
        std::erase_if(self.released_,
                      [&](std::uint32_t shard)
                      {
                          return std::count(ended->released_.begin(),
                                            ended->released_.end(), shard) > 0;
                      });
        feed(at, claim_event{ended->acquired_});
        return;
    }
    std::visit(
        [&](auto const& body)
        {
            if constexpr (!std::is_same_v<std::decay_t<decltype(body)>,
                                          takeover_ended>)
            {
                add_store_call(at, true, body);
            }
        },
        action);
}

void claim_world::add_store_call(std::size_t at, bool is_of_takeover,
                                 store_call_body body)
{
    store_call call;
    call.process_ = at;
    call.is_of_takeover_ = is_of_takeover;
    call.body_ = std::move(body);
    store_calls_.push_back(std::move(call));
}

void claim_world::step()
{
    std::size_t const at = pick(process_count);
    bool const is_paused = processes_[at].is_paused_;
    std::uint64_t const choice = pick(100);
    if (choice < 28)
    {
        deliver_call();
    }
    else if (choice < 52)
    {
        execute_store_call();
    }
    else if (choice < 78)
    {
        answer_store_call(false);
    }
    else if (choice < 86)
    {
        finish_call(false);
    }
    else if (choice < 90 && !is_paused)
    {
        start_takeover(at, pick(3) == 0);
    }
    else if (choice < 92 && !is_paused)
    {
        release(at);
    }
    else if (choice < 94)
    {
        processes_[at].is_paused_ = !is_paused;
    }
    else if (choice == 94 && pick(3) == 0)
    {
        crash(at);
    }
    else
    {
        advance(milliseconds{pick(40)});
    }
}

void claim_world::run_without_faults(int rounds)
{
    for (int round = 0; round < rounds; ++round)
    {
        for (std::size_t at = 0; at < process_count; ++at)
        {
            start_takeover(at, true);
        }
        for (int inner = 0; inner < 30; ++inner)
        {
            execute_store_call();
            answer_store_call(true);
            finish_call(true);
        }
        advance(milliseconds{50});
    }
}

bool claim_world::probe(std::uint64_t number)
{
    call_arrived call;
    call.request_ = {2, number};
    call.key_ = "workspace/new";
    call.deadline_ = now_ + seconds{60};
    keys_of_requests_[call.request_] = make_key_id(call.key_);
    if (!table_)
    {
        return false;
    }
    std::string const home = owner_of(*table_, call.key_).address_;
    for (std::size_t at = 0; at < process_count; ++at)
    {
        if (processes_[at].address_ == home)
        {
            feed(at, claim_event{call});
        }
    }
    run_without_faults(60);
    return run_requests_.contains(call.request_);
}

bool claim_world::settle()
{
    is_settling_ = true;
    for (auto& each : processes_)
    {
        each.is_paused_ = false;
    }
    run_without_faults(60);
    // A home whose log was sealed by a process that then crashed learns it
    // from its first claim, refuses that one and goes on under a new log.
    return probe(1) || probe(2);
}

} // namespace auburnlb::test

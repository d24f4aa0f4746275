// Simulation of random histories of shard owners.
#include "protocol/claim_simulation.hpp"

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

claim_simulation::claim_simulation(std::uint64_t seed, coverage& counts)
    : random_(seed)
    , coverage_(counts)
{
    processes_.resize(process_count);
    for (std::size_t index = 0; index < process_count; ++index)
    {
        processes_[index].address_ = "home" + std::to_string(index);
        restart(processes_[index]);
    }
    if (random_below(3) != 0)
    {
        run_without_faults(4);
    }
}

std::string claim_simulation::key_name(std::uint64_t key) const
{
    return "workspace/" + std::to_string(key);
}

void claim_simulation::fail(std::string text)
{
    if (failure_.empty())
    {
        failure_ = std::move(text);
    }
}

void claim_simulation::restart(process& target)
{
    shard_owner_settings settings;
    settings.retry_interval_ = milliseconds{10};
    settings.store_timeout_ = milliseconds{200};
    // Small enough that outcomes are sometimes evicted.
    settings.max_outcome_bytes_ = 150;
    target.incarnation_ = next_incarnation_++;
    target.owner_ = make_shard_owner("desk", shard_count,
                                     {target.incarnation_, 1}, settings);
    target.takeover_ = {};
    target.takeover_.service_ = "desk";
    target.takeover_.shard_count_ = shard_count;
    target.released_.clear();
    target.is_paused_ = false;
}

void claim_simulation::crash(std::size_t index)
{
    ++coverage_.crashes_;
    for (auto& call : store_calls_)
    {
        call.is_abandoned_ |= call.process_ == index;
    }
    std::erase_if(endpoint_calls_, [&](endpoint_call const& call)
                  { return call.process_ == index; });
    restart(processes_[index]);
}

std::size_t claim_simulation::choose_process(std::string const& key)
{
    for (std::size_t index = 0; index < process_count; ++index)
    {
        if (table_ && random_below(4) != 0 &&
            processes_[index].address_ == owner_of(*table_, key).address_)
        {
            return index;
        }
    }
    return random_below(process_count);
}

void claim_simulation::deliver_call()
{
    if (!sent_calls_.empty() && random_below(4) == 0)
    {
        // A frame that arrives twice. An entry uses only the first reply, and
        // only that of the incarnation to which it sent the frame.
        sent_call const& sent = sent_calls_[random_below(sent_calls_.size())];
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
    call.key_ = key_name(random_below(key_count));
    call.fingerprint_ = 7;
    std::size_t const index = choose_process(call.key_);
    if (processes_[index].is_paused_)
    {
        return;
    }
    call.deadline_ = now_ + milliseconds{random_below(600)};
    call.is_lookup_ = random_below(12) == 0;
    keys_of_requests_[call.request_] = make_key_id(call.key_);
    if (!call.is_lookup_)
    {
        sent_calls_.push_back({index, processes_[index].incarnation_, call});
    }
    feed(index, claim_event{call});
}

claim_view claim_simulation::make_view(process const& self,
                                       bool is_view_accurate)
{
    claim_view view;
    view.address_ = self.address_;
    view.log_ = self.owner_.log_;
    if (self.owner_.is_fenced_)
    {
        ++view.log_.epoch_;
    }
    view.ownership_ = self.owner_.shards_;
    view.released_ = self.released_;
    view.wall_clock_ms_ = 1'000;
    std::set<incarnation_id> present;
    for (auto const& other : processes_)
    {
        bool const is_trusted = is_view_accurate || random_below(3) != 0;
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

void claim_simulation::start_takeover(std::size_t index, bool is_view_accurate)
{
    if (processes_[index].takeover_.phase_ == takeover_phase::idle)
    {
        feed(index, takeover_event{takeover_started{
                        make_view(processes_[index], is_view_accurate)}});
    }
}

void claim_simulation::release(std::size_t index)
{
    release_requested request;
    auto const& shards = processes_[index].owner_.shards_;
    for (std::uint32_t shard = 0; shard < shards.size(); ++shard)
    {
        if (shards[shard] == shard_ownership::owned && random_below(2) == 0)
        {
            request.shards_.push_back(shard);
        }
    }
    feed(index, claim_event{request});
}

void claim_simulation::finish_call(bool is_fault_free)
{
    if (endpoint_calls_.empty())
    {
        return;
    }
    std::size_t const index = random_below(endpoint_calls_.size());
    endpoint_call const call = endpoint_calls_[index];
    if (processes_[call.process_].is_paused_)
    {
        return;
    }
    endpoint_calls_.erase(endpoint_calls_.begin() +
                          static_cast<std::ptrdiff_t>(index));
    call_finished finished{call.key_, call_status::not_sent, nullptr};
    if (call.is_sent_)
    {
        bool const is_lost = !is_fault_free && random_below(8) == 0;
        finished.status_ = is_lost ? call_status::lost : call_status::responded;
        finished.outcome_ = std::make_shared<call_outcome const>(
            call_outcome{200, {}, std::to_string(call.key_.low_)});
    }
    feed(call.process_, claim_event{finished});
}

void claim_simulation::execute(store_call& call)
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

void claim_simulation::execute_store_call()
{
    if (store_calls_.empty())
    {
        return;
    }
    std::size_t const index = random_below(store_calls_.size());
    store_call& call = store_calls_[index];
    if (call.is_executed_)
    {
        return;
    }
    if (random_below(10) == 0)
    {
        // The request is delivered a second time, at some later time.
        store_call copy = call;
        copy.is_abandoned_ = true;
        store_calls_.push_back(copy);
    }
    execute(store_calls_[index]);
    if (store_calls_[index].is_abandoned_)
    {
        store_calls_.erase(store_calls_.begin() +
                           static_cast<std::ptrdiff_t>(index));
    }
}

void claim_simulation::reply_to_store_call(bool is_fault_free)
{
    std::vector<std::size_t> ready;
    for (std::size_t index = 0; index < store_calls_.size(); ++index)
    {
        store_call const& call = store_calls_[index];
        if (!call.is_abandoned_ && !processes_[call.process_].is_paused_ &&
            (call.is_executed_ || (!is_fault_free && random_below(5) == 0)))
        {
            ready.push_back(index);
        }
    }
    if (ready.empty())
    {
        return;
    }
    std::size_t const index = ready[random_below(ready.size())];
    store_call const call = store_calls_[index];
    bool const is_lost =
        !call.is_executed_ || (!is_fault_free && random_below(5) == 0);
    if (call.is_executed_)
    {
        store_calls_.erase(store_calls_.begin() +
                           static_cast<std::ptrdiff_t>(index));
    }
    else
    {
        store_calls_[index].is_abandoned_ = true;
    }
    reply(call, is_lost);
}

void claim_simulation::reply(store_call const& call, bool is_lost)
{
    std::size_t const index = call.process_;
    put_status const status = is_lost ? put_status::lost : call.status_;
    if (auto const* put = std::get_if<put_segment>(&call.body_))
    {
        if (call.is_from_takeover_)
        {
            feed(index, takeover_event{seal_finished{status}});
            return;
        }
        feed(index, claim_event{put_finished{put->segment_.number_, status}});
    }
    else if (auto const* read = std::get_if<read_segment>(&call.body_))
    {
        feed(index,
             claim_event{segment_read{read->number_, is_lost, call.segment_}});
    }
    else if (std::holds_alternative<list_log>(call.body_))
    {
        feed(index, takeover_event{log_listed{is_lost, call.segments_}});
    }
    else if (std::holds_alternative<put_table>(call.body_))
    {
        feed(index, takeover_event{table_put_finished{status}});
    }
    else
    {
        table_read read = call.table_;
        read.is_failed_ = is_lost;
        feed(index, takeover_event{read});
    }
}

void claim_simulation::advance(milliseconds step)
{
    now_ += step;
    for (std::size_t index = 0; index < process_count; ++index)
    {
        if (!processes_[index].is_paused_)
        {
            feed(index, claim_event{tick{}});
        }
    }
}

void claim_simulation::feed(std::size_t index, claim_event const& event)
{
    for (auto const& action : apply(processes_[index].owner_, event, now_))
    {
        perform(index, action);
    }
}

void claim_simulation::feed(std::size_t index, takeover_event const& event)
{
    for (auto const& action : apply(processes_[index].takeover_, event))
    {
        perform(index, action);
    }
}

void claim_simulation::check_response(respond_to_call const& response)
{
    auto const& id = response.request_;
    finished_requests_.insert(id);
    int const count = executions_[keys_of_requests_.at(id)];
    switch (response.run_state_)
    {
    case run_state::not_run:
        ++coverage_.not_run_;
        not_run_requests_.insert(id);
        if (run_requests_.contains(id))
        {
            fail(text_of(id) + " got not_run but had run");
        }
        return;
    case run_state::unknown:
        ++coverage_.unknown_;
        return;
    case run_state::ran:
        coverage_.replays_ += response.is_replay_ ? 1 : 0;
        if (count != 1)
        {
            fail(text_of(id) + " got ran but had not run");
        }
        if (response.outcome_ &&
            response.outcome_->body_ !=
                std::to_string(keys_of_requests_.at(id).low_))
        {
            fail(text_of(id) + " got another key's outcome");
        }
        return;
    }
}

void claim_simulation::perform(std::size_t index, claim_action const& action)
{
    process& self = processes_[index];
    if (auto const* put = std::get_if<put_segment>(&action))
    {
        add_store_call(index, false, *put);
    }
    else if (auto const* read = std::get_if<read_segment>(&action))
    {
        add_store_call(index, false, *read);
    }
    else if (auto const* run = std::get_if<run_call>(&action))
    {
        bool const is_sent = is_recovering_ || random_below(10) != 0;
        endpoint_calls_.push_back({index, run->key_, is_sent});
        if (!is_sent)
        {
            return;
        }
        ++coverage_.executions_;
        run_requests_.insert(run->request_);
        if (not_run_requests_.contains(run->request_))
        {
            fail(text_of(run->request_) + " runs after it got not_run");
        }
        if (++executions_[run->key_] > 1)
        {
            fail("a key ran twice");
        }
    }
    else if (auto const* response = std::get_if<respond_to_call>(&action))
    {
        check_response(*response);
    }
    else if (std::holds_alternative<owner_fenced>(action))
    {
        ++coverage_.fenced_;
    }
    else if (auto const* released = std::get_if<shards_released>(&action))
    {
        ++coverage_.releases_;
        self.released_.insert(self.released_.end(), released->shards_.begin(),
                              released->shards_.end());
    }
}

void claim_simulation::perform(std::size_t index, takeover_action const& action)
{
    process& self = processes_[index];
    if (auto const* ended = std::get_if<takeover_ended>(&action))
    {
        if (ended->is_log_sealed_)
        {
            feed(index, claim_event{log_sealed{ended->acquired_.log_}});
        }
        if (ended->is_failed_)
        {
            return;
        }
        coverage_.takeovers_ += ended->acquired_.shards_.empty() ? 0 : 1;
        std::erase_if(self.released_,
                      [&](std::uint32_t shard)
                      {
                          return std::count(ended->released_.begin(),
                                            ended->released_.end(), shard) > 0;
                      });
        feed(index, claim_event{ended->acquired_});
        return;
    }
    std::visit(
        [&](auto const& body)
        {
            if constexpr (!std::is_same_v<std::decay_t<decltype(body)>,
                                          takeover_ended>)
            {
                add_store_call(index, true, body);
            }
        },
        action);
}

void claim_simulation::add_store_call(std::size_t index, bool is_from_takeover,
                                      store_call_body body)
{
    store_call call;
    call.process_ = index;
    call.is_from_takeover_ = is_from_takeover;
    call.body_ = std::move(body);
    store_calls_.push_back(std::move(call));
}

void claim_simulation::step()
{
    std::size_t const index = random_below(process_count);
    bool const is_paused = processes_[index].is_paused_;
    std::uint64_t const choice = random_below(100);
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
        reply_to_store_call(false);
    }
    else if (choice < 86)
    {
        finish_call(false);
    }
    else if (choice < 90 && !is_paused)
    {
        start_takeover(index, random_below(3) == 0);
    }
    else if (choice < 92 && !is_paused)
    {
        release(index);
    }
    else if (choice < 94)
    {
        processes_[index].is_paused_ = !is_paused;
    }
    else if (choice == 94 && random_below(3) == 0)
    {
        crash(index);
    }
    else
    {
        advance(milliseconds{random_below(40)});
    }
}

void claim_simulation::run_without_faults(int rounds)
{
    for (int round = 0; round < rounds; ++round)
    {
        for (std::size_t index = 0; index < process_count; ++index)
        {
            start_takeover(index, true);
        }
        for (int inner = 0; inner < 30; ++inner)
        {
            execute_store_call();
            reply_to_store_call(true);
            finish_call(true);
        }
        advance(milliseconds{50});
    }
}

bool claim_simulation::serves_new_key(std::uint64_t number)
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
    std::string const owner = owner_of(*table_, call.key_).address_;
    for (std::size_t index = 0; index < process_count; ++index)
    {
        if (processes_[index].address_ == owner)
        {
            feed(index, claim_event{call});
        }
    }
    run_without_faults(60);
    return run_requests_.contains(call.request_);
}

bool claim_simulation::recovers()
{
    is_recovering_ = true;
    for (auto& each : processes_)
    {
        each.is_paused_ = false;
    }
    run_without_faults(60);
    // If a process sealed an owner's log and then crashed, the owner detects
    // the seal when it writes its first claim. It refuses that call and
    // continues with a new log, so the second call must run.
    return serves_new_key(1) || serves_new_key(2);
}

} // namespace auburnlb::test

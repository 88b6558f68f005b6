#pragma once

// The fields of each message in the order in which they are serialized. Whoever adds,
// removes or reorders a field must raise peer::protocol_version.

#include <tuple>

#include "base/serialize.h"
#include "peer/message.h"

#define GUAVAHAVEN_LAYOUT(TYPE, ...)                                                                         \
    template <>                                                                                              \
    struct layout<TYPE> {                                                                                    \
        static auto fields([[maybe_unused]] auto& v)                                                         \
        {                                                                                                    \
            return std::apply([&](auto... m) { return std::tie((v.*m)...); }, std::tuple{__VA_ARGS__});      \
        }                                                                                                    \
    }
#define GUAVAHAVEN_ENUM(TYPE, MAX)                                                                           \
    template <>                                                                                              \
    struct layout<TYPE> {                                                                                    \
        static constexpr TYPE max_value = TYPE::MAX;                                                         \
    }

namespace guavahaven {

GUAVAHAVEN_ENUM(code, backend_refused);
GUAVAHAVEN_ENUM(decide::run_status, unknown);
GUAVAHAVEN_ENUM(decide::member_state, dead);

GUAVAHAVEN_LAYOUT(http::header, &http::header::name_, &http::header::value_);
GUAVAHAVEN_LAYOUT(http::request, &http::request::method_, &http::request::target_, &http::request::headers_,
                  &http::request::body_);
GUAVAHAVEN_LAYOUT(http::response, &http::response::status_, &http::response::headers_,
                  &http::response::body_);
GUAVAHAVEN_LAYOUT(http::address, &http::address::ip_, &http::address::port_);

GUAVAHAVEN_LAYOUT(decide::call_id, &decide::call_id::entry_, &decide::call_id::sequence_);
GUAVAHAVEN_LAYOUT(decide::load_report, &decide::load_report::in_flight_, &decide::load_report::queued_,
                  &decide::load_report::limit_);
GUAVAHAVEN_LAYOUT(decide::call, &decide::call::id_, &decide::call::gate_, &decide::call::identity_,
                  &decide::call::keyed_, &decide::call::request_number_, &decide::call::once_,
                  &decide::call::service_, &decide::call::version_, &decide::call::class_,
                  &decide::call::route_, &decide::call::configuration_, &decide::call::remaining_,
                  &decide::call::sent_ms_, &decide::call::waited_, &decide::call::depth_,
                  &decide::call::body_bytes_, &decide::call::request_);
GUAVAHAVEN_LAYOUT(decide::body_grant, &decide::body_grant::id_, &decide::body_grant::offset_,
                  &decide::body_grant::bytes_);
GUAVAHAVEN_LAYOUT(decide::body_part, &decide::body_part::id_, &decide::body_part::offset_,
                  &decide::body_part::bytes_);
GUAVAHAVEN_LAYOUT(decide::call_ack, &decide::call_ack::id_);
GUAVAHAVEN_LAYOUT(decide::answer, &decide::answer::id_, &decide::answer::load_, &decide::answer::response_,
                  &decide::answer::complete_);
GUAVAHAVEN_LAYOUT(decide::answer_part, &decide::answer_part::id_, &decide::answer_part::offset_,
                  &decide::answer_part::bytes_, &decide::answer_part::complete_);
GUAVAHAVEN_LAYOUT(decide::refusal, &decide::refusal::id_, &decide::refusal::code_, &decide::refusal::load_,
                  &decide::refusal::earlier_status_);
GUAVAHAVEN_LAYOUT(decide::run_failure, &decide::run_failure::id_, &decide::run_failure::code_,
                  &decide::run_failure::load_);
GUAVAHAVEN_LAYOUT(decide::answer_consumed, &decide::answer_consumed::id_, &decide::answer_consumed::bytes_);
GUAVAHAVEN_LAYOUT(decide::cancel, &decide::cancel::id_);
GUAVAHAVEN_LAYOUT(decide::fence, &decide::fence::id_, &decide::fence::gate_);
GUAVAHAVEN_LAYOUT(decide::fence_reply, &decide::fence_reply::id_, &decide::fence_reply::gate_,
                  &decide::fence_reply::run_status_);

GUAVAHAVEN_LAYOUT(decide::call_key, &decide::call_key::entry_, &decide::call_key::id_);
GUAVAHAVEN_LAYOUT(decide::key_claim, &decide::key_claim::identity_, &decide::key_claim::attempt_,
                  &decide::key_claim::request_);
GUAVAHAVEN_LAYOUT(decide::key_claim_reply, &decide::key_claim_reply::identity_,
                  &decide::key_claim_reply::attempt_, &decide::key_claim_reply::granted_,
                  &decide::key_claim_reply::recently_started_, &decide::key_claim_reply::ended_,
                  &decide::key_claim_reply::status_);
GUAVAHAVEN_LAYOUT(decide::crash_report, &decide::crash_report::fingerprint_, &decide::crash_report::gate_,
                  &decide::crash_report::backend_start_);
GUAVAHAVEN_LAYOUT(decide::key_outcome_ack, &decide::key_outcome_ack::identity_,
                  &decide::key_outcome_ack::attempt_);
GUAVAHAVEN_LAYOUT(decide::key_outcome, &decide::key_outcome::identity_, &decide::key_outcome::attempt_,
                  &decide::key_outcome::ran_, &decide::key_outcome::status_);

GUAVAHAVEN_LAYOUT(decide::member, &decide::member::name_, &decide::member::incarnation_,
                  &decide::member::revision_, &decide::member::state_, &decide::member::data_center_,
                  &decide::member::peer_, &decide::member::operator_, &decide::member::service_,
                  &decide::member::version_, &decide::member::slots_);
GUAVAHAVEN_LAYOUT(decide::member_updates, &decide::member_updates::members_);
GUAVAHAVEN_LAYOUT(decide::digest, &decide::digest::members_, &decide::digest::moves_,
                  &decide::digest::orders_, &decide::digest::configuration_,
                  &decide::digest::configuration_hash_);
GUAVAHAVEN_LAYOUT(decide::digest_ack);
GUAVAHAVEN_LAYOUT(decide::digests_stopped);
GUAVAHAVEN_LAYOUT(decide::member_buckets, &decide::member_buckets::hashes_);
GUAVAHAVEN_LAYOUT(decide::members_request, &decide::members_request::buckets_);
GUAVAHAVEN_LAYOUT(decide::probe, &decide::probe::held_, &decide::probe::requester_);
GUAVAHAVEN_LAYOUT(decide::probe_answer, &decide::probe_answer::self_, &decide::probe_answer::requester_);
GUAVAHAVEN_LAYOUT(decide::probe_request, &decide::probe_request::held_);
GUAVAHAVEN_LAYOUT(decide::configuration_request, &decide::configuration_request::above_,
                  &decide::configuration_request::hash_);
GUAVAHAVEN_LAYOUT(decide::configuration_record, &decide::configuration_record::number_,
                  &decide::configuration_record::author_, &decide::configuration_record::written_at_,
                  &decide::configuration_record::text_);
GUAVAHAVEN_LAYOUT(decide::full_configuration, &decide::full_configuration::record_,
                  &decide::full_configuration::hash_);
GUAVAHAVEN_LAYOUT(decide::text_part, &decide::text_part::first_, &decide::text_part::count_,
                  &decide::text_part::inserted_);
GUAVAHAVEN_LAYOUT(decide::configuration_delta, &decide::configuration_delta::base_,
                  &decide::configuration_delta::base_hash_, &decide::configuration_delta::record_,
                  &decide::configuration_delta::hash_, &decide::configuration_delta::parts_);
GUAVAHAVEN_LAYOUT(decide::move_fact, &decide::move_fact::id_, &decide::move_fact::service_,
                  &decide::move_fact::version_, &decide::move_fact::stage_, &decide::move_fact::done_,
                  &decide::move_fact::withdrawn_, &decide::move_fact::reason_, &decide::move_fact::since_,
                  &decide::move_fact::began_);
GUAVAHAVEN_LAYOUT(decide::move_facts, &decide::move_facts::facts_);
GUAVAHAVEN_LAYOUT(decide::order, &decide::order::subject_, &decide::order::revision_,
                  &decide::order::identity_, &decide::order::rule_);
GUAVAHAVEN_LAYOUT(decide::orders, &decide::orders::orders_);
GUAVAHAVEN_LAYOUT(decide::route_counts, &decide::route_counts::route_, &decide::route_counts::class_,
                  &decide::route_counts::ran_, &decide::route_counts::failed_,
                  &decide::route_counts::slower_than_level_);
GUAVAHAVEN_LAYOUT(decide::version_stats, &decide::version_stats::move_, &decide::version_stats::gate_,
                  &decide::version_stats::incarnation_, &decide::version_stats::version_,
                  &decide::version_stats::data_center_, &decide::version_stats::second_,
                  &decide::version_stats::limit_, &decide::version_stats::busy_,
                  &decide::version_stats::deaths_, &decide::version_stats::routes_);
GUAVAHAVEN_LAYOUT(decide::version_stats_report, &decide::version_stats_report::items_);

GUAVAHAVEN_LAYOUT(decide::seed, &decide::seed::data_center_, &decide::seed::daemon_);

GUAVAHAVEN_LAYOUT(peer::hello, &peer::hello::protocol_, &peer::hello::name_, &peer::hello::incarnation_);

} // namespace guavahaven

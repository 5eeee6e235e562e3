//! Received datagrams: validation, dispatch to the protocols, and counting.

use super::Member;
use crate::envelope::{self, EnvelopeError, MessageKind};
use crate::payload::{PayloadError, decode};
use crate::{Identity, Nanos};
use std::net::SocketAddr;

impl Member {
    /// Receives a datagram. A datagram that cannot be decoded is counted and dropped.
    pub fn receive(&mut self, now: Nanos, from: SocketAddr, datagram: &[u8]) {
        let context = &mut self.context;
        context.now = context.now.max(now);
        let statistics = &mut context.statistics;
        statistics.received += 1;
        statistics.received_bytes += datagram.len() as u64;
        let (kind, payload) = match envelope::open(context.scope, datagram) {
            Ok(opened) => opened,
            Err(EnvelopeError::Corrupt) => return statistics.corrupt += 1,
            Err(EnvelopeError::Foreign) => return statistics.foreign += 1,
            Err(EnvelopeError::UnsupportedVersion) => {
                return statistics.unsupported_version += 1;
            }
        };
        if self.has_left {
            return;
        }
        let result = self.dispatch(kind, from, payload);
        self.apply_swim_results();
        if result.is_err() {
            self.context.statistics.malformed += 1;
            return;
        }
        let now = self.context.now;
        if self.is_isolated() {
            // The silence before this datagram was caused by this member's isolation.
            self.failure_detector.restart(now);
        }
        self.failure_detector.health.record_received(now);
        if self.table.contains(&from) {
            self.failure_detector.record_received(now, from);
        }
    }

    fn dispatch(
        &mut self,
        kind: MessageKind,
        from: SocketAddr,
        payload: &[u8],
    ) -> Result<(), PayloadError> {
        let Member {
            context,
            swim,
            metadata,
            table,
            ..
        } = self;
        match kind {
            MessageKind::Swim => swim.receive(context, table, from, payload),
            MessageKind::MetadataRecords => {
                if metadata.receive_records(swim, payload)? > 0 {
                    self.anti_entropy.schedule.mark_differing(context.now);
                }
                Ok(())
            }
            MessageKind::MetadataRequest => metadata.receive_request(context, from, payload),
            MessageKind::WatcherProbe => {
                self.failure_detector.receive_probe(context, swim, payload)
            }
            // Only the arrival of a heartbeat matters; its content is validated and discarded.
            MessageKind::Heartbeat => decode::<Identity>(payload).map(|_| ()),
            MessageKind::MemberListDigest => {
                self.anti_entropy
                    .receive_digest(context, swim, &metadata.store, from, payload)
            }
            MessageKind::MemberListDelta => self.receive_list_delta(from, payload),
            MessageKind::LevelReports => self.shedding.receive(context, table, payload),
            MessageKind::RegionDigest
            | MessageKind::RegionDelta
            | MessageKind::RegionAnnouncements
            | MessageKind::RegionReferral
            | MessageKind::Overview
            | MessageKind::OverviewDigest => self.dispatch_regional(kind, from, payload),
        }
    }

    /// Dispatches the messages of the federation.
    fn dispatch_regional(
        &mut self,
        kind: MessageKind,
        from: SocketAddr,
        payload: &[u8],
    ) -> Result<(), PayloadError> {
        let Member {
            context,
            swim,
            table,
            ..
        } = self;
        let federation = self.federation.as_mut().ok_or(PayloadError::NoRegion)?;
        match kind {
            MessageKind::RegionDigest => federation.receive_digest(context, from, payload),
            MessageKind::RegionDelta => federation.receive_delta(context, swim, from, payload),
            MessageKind::RegionAnnouncements => {
                federation.receive_announcements(context, swim, payload)
            }
            MessageKind::RegionReferral => {
                federation.receive_referral(context, swim, from, payload)
            }
            MessageKind::Overview => federation.receive_overview(context, table, from, payload),
            _ => federation.receive_overview_digest(context, table, from, payload),
        }
    }
}

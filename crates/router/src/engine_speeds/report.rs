//! Speed factors in load reports, and their exchange.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::{
    EngineSpeeds, Estimate, FACTOR_LIFETIME, REPORTED_RANGE, Reported, Sent, Speed, weight_max,
};
use crate::catalog::{Server, ServerId, Stage};

/// Most rows of one report: they take 224 bytes of a datagram.
pub const ROWS_MAX: usize = 32;
/// Rows of one report to another zone, which is sent four times a second and pays for each byte.
const ZONE_ROWS: usize = 8;
/// A factor that has changed by more than this fraction is reported again.
const CHANGE_MIN: f64 = 0.1;
/// Time after which a factor is reported again without a change: two reports of three may be lost
/// before it expires at a peer.
pub const REPORT_REFRESH: Duration = Duration::from_secs(9);
/// Factors are sent in thousandths.
const FACTOR_UNIT: f64 = 1_000.0;
/// Encoded size of a row: the engine's short hash, the factor, and the weight.
const ROW_BYTES: usize = 7;
/// Most reported factors that are kept, twice those of 1,000 engines; bounds the memory when engines
/// come and go.
const REPORTED_MAX: usize = 4_000;
/// Flag of a decode factor in the byte of the weight.
const DECODE_FLAG: u8 = 1 << 7;

/// A speed factor that one gateway reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedRow {
    /// Short hash of the engine's incarnation.
    pub engine: u32,
    /// Kind of work.
    pub stage: Stage,
    /// Time that the work takes, relative to the fixed time.
    pub factor: f64,
    /// Prompts or events observed.
    pub weight: u32,
}

/// Speed factors in a load report.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(from = "EncodedRows", into = "EncodedRows")]
pub struct SpeedReport {
    /// Factors that are new to the receivers or confirmed.
    pub rows: Vec<SpeedRow>,
}

impl SpeedReport {
    /// Is there nothing to report?
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

#[serde_as]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
struct EncodedRows(#[serde_as(as = "serde_with::Bytes")] Vec<u8>);

impl From<SpeedReport> for EncodedRows {
    fn from(report: SpeedReport) -> Self {
        let mut out = Vec::with_capacity(report.rows.len() * ROW_BYTES);
        for row in report.rows {
            out.extend(row.engine.to_le_bytes());
            out.extend(((row.factor * FACTOR_UNIT).round() as u16).to_le_bytes());
            let flag = if row.stage == Stage::Decode { DECODE_FLAG } else { 0 };
            out.push(row.weight.min(u32::from(DECODE_FLAG - 1)) as u8 | flag);
        }
        EncodedRows(out)
    }
}

impl From<EncodedRows> for SpeedReport {
    /// Bytes beyond whole rows are ignored, so that a malformed field costs no load report.
    fn from(EncodedRows(bytes): EncodedRows) -> Self {
        let row = |b: &[u8]| SpeedRow {
            engine: u32::from_le_bytes([b[0], b[1], b[2], b[3]]),
            stage: if b[6] & DECODE_FLAG == 0 { Stage::Prefill } else { Stage::Decode },
            factor: f64::from(u16::from_le_bytes([b[4], b[5]])) / FACTOR_UNIT,
            weight: u32::from(b[6] & !DECODE_FLAG),
        };
        SpeedReport { rows: bytes.chunks_exact(ROW_BYTES).take(ROWS_MAX).map(row).collect() }
    }
}

impl Estimate {
    fn is_due(&self, now: Timestamp, stage: Stage) -> bool {
        let Some(sent) = self.sent else {
            return true;
        };
        let changed = (self.factor - sent.factor).abs() > CHANGE_MIN * sent.factor;
        let weightier = self.count.min(weight_max(stage)) >= sent.weight * 2;
        changed || weightier || now.since(sent.at) >= REPORT_REFRESH
    }
}

impl EngineSpeeds {
    /// Returns the factors to report now: those that have changed and those that peers would soon
    /// forget, the longest unreported first. They count as sent.
    pub fn report(&mut self, now: Timestamp) -> SpeedReport {
        let enabled = &self.enabled;
        let own = self.own.iter_mut().filter(|(_, own)| enabled.contains(&own.service));
        let estimates = own.flat_map(|(id, own)| {
            let engine = id.short_hash();
            let prefill = own.prefill.as_mut().map(|e| (engine, Stage::Prefill, e));
            prefill.into_iter().chain(own.decode.as_mut().map(|e| (engine, Stage::Decode, e)))
        });
        let mut due: Vec<(u32, Stage, &mut Estimate)> =
            estimates.filter(|(_, stage, e)| e.is_recent(now) && e.is_due(now, *stage)).collect();
        due.sort_by_key(|(engine, _, e)| (e.sent.map(|sent| sent.at), *engine));
        let rows = due.into_iter().take(ROWS_MAX).map(|(engine, stage, e)| {
            let weight = e.count.min(weight_max(stage));
            e.sent = Some(Sent { factor: e.factor, weight, at: now });
            SpeedRow { engine, stage, factor: e.factor, weight }
        });
        SpeedReport { rows: rows.collect() }
    }

    /// Returns the next rows for other zones: the merged factors of the `engines` of this zone, in turn.
    /// With 16 engines all are reported within a second.
    pub fn zone_report<'a>(
        &mut self,
        now: Timestamp,
        engines: impl Iterator<Item = &'a Server>,
    ) -> SpeedReport {
        let engines = engines.filter(|s| self.is_enabled(&s.service));
        let rows = engines.flat_map(|s| {
            let speed = self.speed(now, &s.id);
            let row = move |stage| {
                let Speed { factor, weight, age } = speed.at(stage)?;
                let engine = s.id.short_hash();
                (age < FACTOR_LIFETIME).then_some(SpeedRow { engine, stage, factor, weight })
            };
            row(Stage::Prefill).into_iter().chain(row(Stage::Decode))
        });
        let mut rows: Vec<SpeedRow> = rows.collect();
        let count = rows.len().min(ZONE_ROWS);
        let first = self.zone_row % rows.len().max(1);
        self.zone_row = first + count;
        rows.rotate_left(first);
        rows.truncate(count);
        SpeedReport { rows }
    }

    /// Reports all factors again, since a gateway has started that knows none.
    pub fn report_all_again(&mut self) {
        for own in self.own.values_mut() {
            for estimate in own.prefill.iter_mut().chain(own.decode.iter_mut()) {
                estimate.sent = None;
            }
        }
    }

    /// Stores what a peer reports.
    pub fn on_report(&mut self, now: Timestamp, peer: &str, report: &SpeedReport) {
        for row in report.rows.iter().filter(|row| row.weight > 0 && row.factor > 0.0) {
            let factor = row.factor.clamp(REPORTED_RANGE.0, REPORTED_RANGE.1);
            let weight = row.weight.min(weight_max(row.stage));
            let reported = Reported { factor, weight, received_at: now };
            let key = (row.engine, row.stage);
            if self.reported.len() >= REPORTED_MAX && !self.reported.contains_key(&key) {
                continue;
            }
            let peers = self.reported.entry(key).or_default();
            peers.insert(peer.to_owned(), reported);
        }
    }

    /// Is any factor of this engine reported? Peers report only those of services of which a server
    /// has stated how long its work takes.
    pub fn is_reported(&self, id: &ServerId) -> bool {
        let engine = id.short_hash();
        [Stage::Prefill, Stage::Decode]
            .iter()
            .any(|stage| self.reported.contains_key(&(engine, *stage)))
    }
}

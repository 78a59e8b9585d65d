//! Division of an engine's free slots among the entry hosts that got the same report.

/// Number of free slots that remote hosts, those of other regions, leave to the hosts of the
/// engine's region. Each of the two groups divides the same free slots among its hosts.
const REMOTE_SLOT_RESERVE: u32 = 3;
/// Odd multiplier that spreads successive rounds over all positions; from Fibonacci hashing.
const ROUND_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
/// Number of new requests per pass that remote hosts leave to the hosts of the engine's region; at
/// least one is left for them while enough slots are free.
const REMOTE_BATCH_RESERVE: u32 = 2;
/// Largest number of slots that one report grants to remote hosts.
const MAX_SPARE_SLOTS: u32 = 3;
/// Number of free slots for each grant beyond what the engine can prefill at once.
const IDLE_SLOTS_PER_GRANT: u32 = 2;

/// Position of this host among the entry hosts that got the same report of an agent. It changes with
/// every report, so that all hosts agree without coordination which of them may use a free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rotation {
    /// Position, from 0.
    pub position: u32,
    /// Number of entry hosts in the rotation.
    pub hosts: u32,
    /// Number of free slots that these hosts leave to others.
    reserve: u32,
    /// Slots lent to other regions: for hosts of the engine's region, the number of free slots that
    /// are not theirs; for others, the free slot, counted from 1, that is this host's.
    lent: u32,
}

impl Rotation {
    /// Position of the host at `index` among the `hosts` of the engine's region, in a round of
    /// reports.
    pub fn new(index: usize, hosts: usize, round: u64) -> Self {
        let hosts = hosts.max(1) as u64;
        // A plain sum would skip positions for hosts that get only every third report.
        let offset = round.wrapping_mul(ROUND_MULTIPLIER) >> 32;
        Self {
            position: ((index as u64 + offset) % hosts) as u32,
            hosts: hosts as u32,
            reserve: 0,
            lent: 0,
        }
    }

    /// The same among remote hosts, which use what the hosts of the engine's region leave.
    pub fn remote(index: usize, hosts: usize, round: u64) -> Self {
        Self {
            reserve: REMOTE_SLOT_RESERVE,
            ..Self::new(index, hosts, round)
        }
    }

    /// The same in a report that lends slots to other regions, as its agent states.
    pub fn with_lent(self, lent: u32) -> Self {
        Self { lent, ..self }
    }

    /// Whether this host may get a slot from a report to remote hosts. The others get none, so that
    /// the report need not be sent to them.
    pub fn may_get_spare_slot(self) -> bool {
        self.position < MAX_SPARE_SLOTS
    }

    /// This host's share of `free` slots, of which the engine can fill `max_new` in one pass.
    pub(super) fn share(self, free: u32, max_new: u32) -> u32 {
        if self.reserve > 0 && self.lent > 0 {
            return u32::from(free.min(max_new) >= self.lent);
        }
        let free = free.saturating_sub(self.lent);
        let max_new = max_new.saturating_sub(self.lent);
        let count = if max_new == 0 {
            0
        } else if self.reserve == 0 {
            // Most hosts use none of their share while slots are free, so that more may be handed
            // out than the engine can prefill at once.
            free.min(max_new)
                .max(self.hosts.min(free / IDLE_SLOTS_PER_GRANT))
        } else {
            let max_new = max_new.saturating_sub(REMOTE_BATCH_RESERVE).max(1);
            let spare = free.saturating_sub(self.reserve).min(max_new);
            spare.min(MAX_SPARE_SLOTS)
        };
        count / self.hosts + u32::from(self.position < count % self.hosts)
    }
}

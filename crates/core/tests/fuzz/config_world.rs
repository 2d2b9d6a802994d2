//! Operators race, readers lag, the log forgets, peers pass configurations on.
//!
//! The oracle folds all records in order, with nothing forgotten. Promise: what a reader has
//! in force was accepted at that revision, and never goes back.

use {
    crate::support::Command,
    egret_core::{
        Adapter, ConfigChange, ConfigLog, ConfigRecord, ConfigSnapshot, HostsOutOfService,
        Manifest, ManifestOp,
    },
    faststr::FastStr,
    indexmap::IndexMap,
};

const READERS: usize = 3;

#[derive(Default)]
struct Reader {
    config_log: ConfigLog,
    next: u64,
    revision: u64,
}

#[derive(Default)]
struct World {
    records: Vec<ConfigRecord>,
    log_start: u64,
    readers: Vec<Reader>,
    oracle: IndexMap<u64, Manifest>,
    current: u64,
    changes: u64,
}

pub(crate) fn run(commands: &[Command]) -> Result<(), String> {
    let mut world = World::default();
    world.oracle.insert(0, Manifest::default());
    world.readers.resize_with(READERS, Reader::default);
    for command in commands {
        world.step(*command);
        world.check()?;
    }
    Ok(())
}

impl World {
    fn step(&mut self, command: Command) {
        let reader = usize::from(command.actor) % READERS;
        match command.action % 8 {
            0 | 1 => self.change(command),
            2..=4 => self.read(reader, usize::from(command.variant) % 6 + 1),
            5 => self.share_snapshot(reader, usize::from(command.subject) % READERS),
            6 => self.truncate_log(u64::from(command.variant) % 8, reader),
            _ => {
                self.readers[reader] = Reader { revision: 0, ..Reader::default() };
            }
        }
    }

    /// An operator changes the configuration, planned against any recent revision.
    fn change(&mut self, command: Command) {
        let bases: Vec<u64> = self.oracle.keys().copied().collect();
        let back = usize::from(command.subject) % bases.len().min(3);
        let base_revision = bases[bases.len() - 1 - back];
        let name = FastStr::from_string(format!("b/a{}", command.variant % 4));
        let op = match command.variant % 5 {
            0 => ManifestOp::PutBaseModel { name: "b".into(), base: egret_core::BaseModel {} },
            1 => ManifestOp::RemoveBaseModel { name: "b".into() },
            2 => ManifestOp::RemoveAdapter { name },
            3 => ManifestOp::SetHosts {
                hosts: HostsOutOfService {
                    retire: [name].into_iter().collect(),
                    ..HostsOutOfService::default()
                },
            },
            _ => ManifestOp::PutAdapter { name, adapter: Adapter { versions: vec![1] } },
        };
        self.changes += 1;
        let change = ConfigChange {
            id: FastStr::from_string(self.changes.to_string()),
            operator: "o".into(),
            base_revision,
            ops: vec![op.clone()],
        };
        let offset = self.records.len() as u64;
        self.records.push(ConfigRecord::Change(change));
        self.apply_to_oracle(offset, base_revision, &op);
    }

    /// The oracle's own rule: the first valid change that follows the revision in force.
    fn apply_to_oracle(&mut self, offset: u64, base_revision: u64, op: &ManifestOp) {
        if base_revision != self.current {
            return;
        }
        let mut manifest = self.oracle[&self.current].clone();
        match op {
            ManifestOp::PutBaseModel { name, base } => {
                manifest.base_models.insert(name.clone(), base.clone());
            }
            ManifestOp::RemoveBaseModel { name } => {
                manifest.base_models.shift_remove(name);
            }
            ManifestOp::RemoveAdapter { name } => {
                manifest.adapters.shift_remove(name);
            }
            ManifestOp::PutAdapter { name, adapter } => {
                manifest.adapters.insert(name.clone(), adapter.clone());
            }
            ManifestOp::SetHosts { hosts } => manifest.hosts = hosts.clone(),
            _ => unreachable!("not made by this world"),
        }
        let valid = manifest.adapters.is_empty() || manifest.base_models.contains_key("b");
        if valid {
            self.current = offset + 1;
            self.oracle.insert(self.current, manifest);
        }
    }

    fn read(&mut self, reader: usize, most: usize) {
        let start = self.log_start;
        let reader = &mut self.readers[reader];
        reader.config_log.set_stream_start(start);
        reader.next = reader.next.max(start);
        for _ in 0..most {
            let Some(record) = self.records.get(reader.next as usize) else {
                return;
            };
            reader.config_log.apply_record(reader.next, record.clone());
            reader.next += 1;
        }
    }

    fn share_snapshot(&mut self, from: usize, to: usize) {
        let snapshot: ConfigSnapshot = self.readers[from].config_log.snapshot();
        self.readers[to].config_log.apply_snapshot(&snapshot);
    }

    /// A reader appends a snapshot, which may be late, then the log forgets some records, but
    /// never the newest snapshot.
    fn truncate_log(&mut self, count: u64, reader: usize) {
        if !self.readers[reader].config_log.is_contiguous() {
            return;
        }
        let snapshot = self.readers[reader].config_log.snapshot();
        let at = self.records.len() as u64;
        self.records.push(ConfigRecord::Snapshot(snapshot));
        self.log_start = self.log_start.max((self.log_start + count).min(at));
    }

    fn check(&mut self) -> Result<(), String> {
        for (i, reader) in self.readers.iter_mut().enumerate() {
            let config = reader.config_log.current();
            let Some(expected) = self.oracle.get(&config.revision) else {
                return Err(format!("reader {i}: revision {} never accepted", config.revision));
            };
            if *expected != config.manifest {
                return Err(format!("reader {i}: another manifest at {}", config.revision));
            }
            if config.revision < reader.revision {
                return Err(format!("reader {i}: back to {}", config.revision));
            }
            reader.revision = config.revision;
            let caught_up = reader.config_log.is_contiguous()
                && reader.next == self.records.len() as u64
                && reader.next >= self.log_start;
            if caught_up && config.revision != self.current {
                return Err(format!("reader {i}: read all but misses {}", self.current));
            }
        }
        Ok(())
    }
}

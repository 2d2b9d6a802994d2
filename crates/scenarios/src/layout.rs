//! Addresses, settings and manifest of a deployment on loopback addresses.

use {
    egret_core::{
        Adapter, BaseModel, EngineSpec, HostState, HostsOutOfService, Manifest, ServiceSpec,
        ServiceTarget, WeightStoreSpec,
    },
    egret_runtime::HostEntry,
    faststr::FastStr,
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
        path::Path,
    },
};

/// Port at which entries serve callers.
const ENTRY_PORT: u16 = 7000;
/// Port at which keepers accept links.
const KEEPER_LINK_PORT: u16 = 7100;
/// Port at which keepers serve status.
const KEEPER_HTTP_PORT: u16 = 7101;
/// Port of each stand-in.
const STANDIN_PORT: u16 = 9000;
/// Port that is bound while a subnet is in use, so that no two deployments share one.
const LOCK_PORT: u16 = 9999;

/// Shared secret of the links between hosts.
const LINK_SECRET: &str = "loopback-only";

/// Sizes and options of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentSpec {
    /// Entry hosts, each with an entry and a keeper.
    pub hosts: usize,
    /// Model engines.
    pub engines: usize,
    /// Targets of the plain service `studio`.
    pub service_targets: usize,
    /// Adapters, `a0` and so on, each with versions 1 and 2.
    pub adapters: usize,
    /// Adapters that an engine keeps resident at once.
    pub adapter_slots: u16,
    /// Sequences that an engine runs at once.
    pub batch_size: u16,
    /// Data centres. Hosts, engines and targets are assigned to them round-robin.
    pub data_centres: Vec<&'static str>,
    /// True when engines reject orders with outdated fencing tokens.
    pub checks_fence: bool,
    /// Additional arguments of each engine stand-in.
    pub engine_args: Vec<String>,
    /// Lines added to each entry's settings.
    pub entry_settings: String,
    /// Lines added to each keeper's settings.
    pub keeper_settings: String,
    /// True when each host reaches the log through a relay.
    pub has_log_relays: bool,
}

impl DeploymentSpec {
    /// A deployment of few processes that starts quickly.
    #[must_use]
    pub fn small() -> Self {
        Self {
            hosts: 2,
            engines: 2,
            service_targets: 1,
            adapters: 20,
            adapter_slots: 4,
            batch_size: 8,
            data_centres: vec!["dc-a", "dc-b"],
            checks_fence: true,
            engine_args: Vec::new(),
            entry_settings: String::new(),
            keeper_settings: String::new(),
            has_log_relays: false,
        }
    }

    /// The sizes of Meteora's deployment.
    #[must_use]
    pub fn meteora() -> Self {
        Self {
            hosts: 4,
            engines: 9,
            service_targets: 3,
            adapters: 3000,
            adapter_slots: 16,
            data_centres: vec!["be-central-a", "be-central-b", "be-central-c"],
            ..Self::small()
        }
    }

    /// The sizes of Cronometría's deployment.
    #[must_use]
    pub fn cronometria() -> Self {
        Self {
            hosts: 4,
            engines: 12,
            service_targets: 3,
            adapters: 3000,
            adapter_slots: 16,
            data_centres: vec!["bilbao", "santander", "oviedo"],
            ..Self::small()
        }
    }
}

/// Addresses of a deployment, all in a loopback subnet of its own.
#[derive(Debug)]
pub struct Layout {
    subnet: u8,
    _lock: TcpListener,
}

impl Layout {
    /// Reserves a loopback subnet that no other deployment uses.
    ///
    /// # Panics
    ///
    /// When all subnets are in use.
    #[must_use]
    pub fn reserve() -> Self {
        let first = u8::try_from(std::process::id() % 200).unwrap_or(0);
        for step in 0..200 {
            let subnet = 20 + (first + step) % 200;
            let address = SocketAddr::new(loopback_ip(subnet, 0, 254), LOCK_PORT);
            if let Ok(lock) = TcpListener::bind(address) {
                return Self { subnet, _lock: lock };
            }
        }
        panic!("all loopback subnets are in use");
    }

    /// The second byte of its addresses, which are in `127.0.0.0/8`.
    #[must_use]
    pub fn subnet(&self) -> u8 {
        self.subnet
    }

    /// Groups: 0 for the platform, 1 for the entry hosts, 2 for the engines, 3 for the service
    /// targets and 4 for the log relays.
    fn address(&self, group: u8, index: usize, port: u16) -> SocketAddr {
        let last_byte = u8::try_from(index + 1).unwrap_or(253);
        SocketAddr::new(loopback_ip(self.subnet, group, last_byte), port)
    }

    /// Address of the log.
    #[must_use]
    pub fn log(&self) -> SocketAddr {
        self.address(0, 0, STANDIN_PORT)
    }

    /// Address of the host list.
    #[must_use]
    pub fn host_list(&self) -> SocketAddr {
        self.address(0, 1, STANDIN_PORT)
    }

    /// Address of the weight store.
    #[must_use]
    pub fn weight_store(&self) -> SocketAddr {
        self.address(0, 2, STANDIN_PORT)
    }

    /// Address at which the entry of host `index` serves callers.
    #[must_use]
    pub fn entry(&self, index: usize) -> SocketAddr {
        self.address(1, index, ENTRY_PORT)
    }

    /// Address at which the keeper of host `index` accepts links.
    #[must_use]
    pub fn keeper_links(&self, index: usize) -> SocketAddr {
        self.address(1, index, KEEPER_LINK_PORT)
    }

    /// Address at which the keeper of host `index` serves status.
    #[must_use]
    pub fn keeper_http(&self, index: usize) -> SocketAddr {
        self.address(1, index, KEEPER_HTTP_PORT)
    }

    /// Address of engine `index`.
    #[must_use]
    pub fn engine(&self, index: usize) -> SocketAddr {
        self.address(2, index, STANDIN_PORT)
    }

    /// Address of service target `index`.
    #[must_use]
    pub fn service_target(&self, index: usize) -> SocketAddr {
        self.address(3, index, STANDIN_PORT)
    }

    /// Address of the relay between host `index` and the log.
    #[must_use]
    pub fn relay(&self, index: usize) -> SocketAddr {
        self.address(4, index, STANDIN_PORT)
    }

    /// Address at which the relay of host `index` takes fault switches.
    #[must_use]
    pub fn relay_control(&self, index: usize) -> SocketAddr {
        self.address(4, index, STANDIN_PORT + 1)
    }

    /// Name of entry host `index`, which counts from 0.
    #[must_use]
    pub fn host_name(index: usize) -> String {
        format!("entry-{}", index + 1)
    }

    /// Name of engine `index`, which counts from 0.
    #[must_use]
    pub fn engine_name(index: usize) -> String {
        format!("engine-{}", index + 1)
    }

    /// Entries of the host list.
    #[must_use]
    pub fn host_entries(&self, spec: &DeploymentSpec) -> Vec<HostEntry> {
        let host = |index| HostEntry {
            host: FastStr::from_string(Self::host_name(index)),
            ip: self.entry(index).ip(),
            data_centre: FastStr::new(spec.data_centres[index % spec.data_centres.len()]),
            state: HostState::Live,
            role: FastStr::from_static_str("entry"),
        };
        (0..spec.hosts).map(host).collect()
    }

    /// Initial manifest of the deployment.
    #[must_use]
    pub fn manifest(&self, spec: &DeploymentSpec) -> Manifest {
        let data_centre =
            |index: usize| FastStr::new(spec.data_centres[index % spec.data_centres.len()]);
        let base = FastStr::from_static_str("base");
        let adapter = |index| {
            let key = FastStr::from_string(format!("base/a{index}"));
            (key, Adapter { versions: vec![1, 2] })
        };
        let engine = |index| {
            let engine_spec = EngineSpec {
                base: base.clone(),
                address: self.engine(index),
                data_centre: data_centre(index),
                adapter_slots: spec.adapter_slots,
                batch: spec.batch_size,
                checks_fence: spec.checks_fence,
            };
            (FastStr::from_string(Self::engine_name(index)), engine_spec)
        };
        let target = |index| {
            let name = FastStr::from_string(format!("studio-{}", index + 1));
            let data_centre = data_centre(index);
            (name, ServiceTarget { address: self.service_target(index), data_centre })
        };
        let studio = ServiceSpec { targets: (0..spec.service_targets).map(target).collect() };
        Manifest {
            weight_store: WeightStoreSpec::default(),
            base_models: [(base.clone(), BaseModel {})].into_iter().collect(),
            adapters: (0..spec.adapters).map(adapter).collect(),
            engines: (0..spec.engines).map(engine).collect(),
            services: [(FastStr::from_static_str("studio"), studio)].into_iter().collect(),
            hosts: HostsOutOfService::default(),
        }
    }

    fn platform_settings(&self, spec: &DeploymentSpec, index: usize) -> String {
        let log = if spec.has_log_relays { self.relay(index) } else { self.log() };
        format!("[platform]\nlog = \"{log}\"\nhosts = \"{}\"\n", self.host_list())
    }

    /// Settings of the entry of host `index`.
    #[must_use]
    pub fn entry_settings(&self, spec: &DeploymentSpec, index: usize) -> String {
        let data_centre = spec.data_centres[index % spec.data_centres.len()];
        format!(
            "host = \"{}\"\ndata_centre = \"{data_centre}\"\nhttp = \"{}\"\n\
             keeper_port = {KEEPER_LINK_PORT}\nsecret = \"{LINK_SECRET}\"\n{}{}",
            Self::host_name(index),
            self.entry(index),
            self.platform_settings(spec, index),
            spec.entry_settings,
        )
    }

    /// Settings of the keeper of host `index`.
    #[must_use]
    pub fn keeper_settings(&self, spec: &DeploymentSpec, index: usize) -> String {
        let data_centre = spec.data_centres[index % spec.data_centres.len()];
        format!(
            "host = \"{}\"\ndata_centre = \"{data_centre}\"\nlinks = \"{}\"\nhttp = \"{}\"\n\
             secret = \"{LINK_SECRET}\"\n{}{}",
            Self::host_name(index),
            self.keeper_links(index),
            self.keeper_http(index),
            self.platform_settings(spec, index),
            spec.keeper_settings,
        )
    }

    /// Settings of egretctl.
    #[must_use]
    pub fn ctl_settings(&self) -> String {
        format!(
            "entry_port = {ENTRY_PORT}\nkeeper_port = {KEEPER_HTTP_PORT}\n\
             [platform]\nlog = \"{}\"\nhosts = \"{}\"\n",
            self.log(),
            self.host_list()
        )
    }

    /// Writes `text` to the file `name` in `folder` and returns its path.
    ///
    /// # Panics
    ///
    /// When the file can't be written.
    #[must_use]
    pub fn write_file(folder: &Path, name: &str, text: &str) -> String {
        // renamed into place, since another thread may write the same file while a process reads it
        let part = folder.join(format!("{name}.{:?}", std::thread::current().id()));
        let path = folder.join(name);
        let written = std::fs::write(&part, text).and_then(|()| std::fs::rename(&part, &path));
        written.expect("the temporary folder can be written");
        path.display().to_string()
    }
}

fn loopback_ip(subnet: u8, group: u8, last_byte: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, subnet, group, last_byte))
}

use super::inspection::Inspection;
use super::instance::InstanceConfig;
use super::{ExecutionCounter, Instance};
use hyssop_config::settings::Machines;
use snafu::{ResultExt, Snafu};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// A failure to start the stand-in.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An instance cannot listen on its loopback address.
    #[snafu(display("cannot listen on any port of {address}: {source}"))]
    Listen {
        /// The address.
        address: IpAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The inspection interface cannot listen on its address.
    #[snafu(display("cannot listen on {address}: {reason}; choose a free address"))]
    Inspection {
        /// The address.
        address: String,
        /// The HTTP library's error message.
        reason: String,
    },
    /// The instances cannot be registered with the platform.
    #[snafu(display("cannot register the instances with the platform at {platform}: {source}"))]
    Register {
        /// The platform's base address.
        platform: String,
        /// The HTTP client's error.
        source: minreq::Error,
    },
    /// The runtime cannot be started or a listener's address cannot be read.
    #[snafu(display("cannot start the runtime or read a listener's address: {source}"))]
    System {
        /// The operating system's error.
        source: std::io::Error,
    },
}

/// The start options of the server stand-in.
#[derive(Clone, Debug)]
pub struct Options {
    /// The machines to simulate.
    pub machines: Machines,
    /// The base address of the platform to register with, if any.
    pub platform: Option<String>,
    /// The address to serve inspection requests on, `IP:PORT`.
    pub listen: String,
    /// The duration of a reboot, in milliseconds.
    pub reboot_ms: u64,
    /// The number of the runtime's worker threads.
    pub threads: usize,
}

/// A fleet of running instances, whose inspection interface responds once `serve` is called.
pub struct Servers {
    server: tiny_http::Server,
    inspection: Inspection,
    _runtime: tokio::runtime::Runtime,
}

/// Starts the instances and serves inspection requests until the process ends.
///
/// # Errors
///
/// Fails when it cannot listen on an address or cannot reach the platform.
pub fn run(options: Options) -> Result<(), Error> {
    let servers = start(options)?;
    println!("ready servers={} pid={}", servers.url(), std::process::id());
    servers.serve();
    Ok(())
}

/// Starts the instances and registers them with the platform.
///
/// # Errors
///
/// Fails when it cannot listen on an address or cannot reach the platform.
pub fn start(options: Options) -> Result<Servers, Error> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(options.threads)
        .enable_all()
        .build()
        .context(SystemSnafu)?;
    let executions = Arc::new(ExecutionCounter::default());
    let reboot_duration = Duration::from_millis(options.reboot_ms);
    let mut instances = Vec::new();
    for config in instance_configs(&options.machines) {
        let listener = runtime.block_on(listen(config.number))?;
        let address = listener.local_addr().context(SystemSnafu)?;
        let instance = Arc::new(Instance::new(config, address));
        runtime.spawn(
            instance
                .clone()
                .serve(listener, executions.clone(), reboot_duration),
        );
        instances.push(instance);
    }
    let server = tiny_http::Server::http(&options.listen).map_err(|error| {
        InspectionSnafu {
            address: &options.listen,
            reason: error.to_string(),
        }
        .build()
    })?;
    let address = server.server_addr().to_string();
    if let Some(platform) = &options.platform {
        let url = format!("{platform}/roster/source?address={address}");
        minreq::post(url)
            .send()
            .context(RegisterSnafu { platform })?;
    }
    Ok(Servers {
        server,
        inspection: Inspection {
            instances,
            executions,
        },
        _runtime: runtime,
    })
}

impl Servers {
    /// Returns the base address of the inspection interface.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.server_addr())
    }

    /// Serves inspection requests until the process ends.
    pub fn serve(&self) {
        self.inspection.serve(&self.server);
    }
}

/// Returns the instances' configurations: racks of equal size, assigned to the data centres in
/// turn.
fn instance_configs(machines: &Machines) -> Vec<InstanceConfig> {
    let data_centre_count = machines.data_centres.len() as u32;
    let config = |number: u32| {
        let rack = number / machines.per_rack;
        let data_centre = machines.data_centres[(rack % data_centre_count) as usize].clone();
        InstanceConfig {
            name: format!("i-{number:04}"),
            number,
            rack: format!("{data_centre}-r{}", rack / data_centre_count),
            data_centre,
            slots: machines.slots,
            connection_limit: machines.connections,
        }
    };
    (0..machines.instances).map(config).collect()
}

/// Listens on the loopback address `127.2.x.y` that is reserved for the instance.
async fn listen(number: u32) -> Result<TcpListener, Error> {
    const INSTANCES_PER_OCTET: u32 = 250;
    let third = (number / INSTANCES_PER_OCTET) as u8;
    let fourth = (number % INSTANCES_PER_OCTET + 1) as u8;
    let address = IpAddr::V4(Ipv4Addr::new(127, 2, third, fourth));
    let any_port = SocketAddr::new(address, 0);
    TcpListener::bind(any_port)
        .await
        .context(ListenSnafu { address })
}

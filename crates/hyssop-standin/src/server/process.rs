use super::inspection::Inspection;
use super::instance::Place;
use super::{Executed, Instance};
use hyssop_config::settings::Machines;
use snafu::{ResultExt, Snafu};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Says why the stand-in could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An instance's address can't be used.
    #[snafu(display("no port of {address} can be listened on: {source}"))]
    Listen {
        /// The address.
        address: IpAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The inspection address can't be used.
    #[snafu(display("{address} can't be listened on: {reason}; choose a free address"))]
    Inspection {
        /// The address.
        address: String,
        /// What the library said.
        reason: String,
    },
    /// The platform did not take the list of instances.
    #[snafu(display("the platform at {platform} can't be told of the instances: {source}"))]
    Register {
        /// The platform.
        platform: String,
        /// What the client said.
        source: minreq::Error,
    },
    /// The operating system refused a thread.
    #[snafu(display("the operating system refused a thread: {source}"))]
    System {
        /// What the operating system said.
        source: std::io::Error,
    },
}

/// Holds what the stand-in was started with.
#[derive(Clone, Debug)]
pub struct Options {
    /// The machines to play.
    pub machines: Machines,
    /// The platform to register with.
    pub platform: Option<String>,
    /// The inspection address.
    pub listen: String,
    /// How long a reboot takes, in milliseconds.
    pub reboot_ms: u64,
    /// The number of threads.
    pub threads: usize,
}

/// Is a fleet of instances that serve, with an inspection that does not yet.
pub struct Servers {
    server: tiny_http::Server,
    inspection: Inspection,
    _runtime: tokio::runtime::Runtime,
}

/// Plays the instances until the process is ended.
///
/// # Errors
///
/// Fails when an address can't be used or the platform can't be reached.
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
/// Fails when an address can't be used or the platform can't be reached.
pub fn start(options: Options) -> Result<Servers, Error> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(options.threads)
        .enable_all()
        .build()
        .context(SystemSnafu)?;
    let executed = Arc::new(Executed::default());
    let reboot = Duration::from_millis(options.reboot_ms);
    let mut instances = Vec::new();
    for place in places(&options.machines) {
        let listener = runtime.block_on(listen(place.number))?;
        let address = listener.local_addr().context(SystemSnafu)?;
        let instance = Arc::new(Instance::new(place, address));
        runtime.spawn(instance.clone().serve(listener, executed.clone(), reboot));
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
            executed,
        },
        _runtime: runtime,
    })
}

impl Servers {
    /// Returns the inspection's base address.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.server_addr())
    }

    /// Answers inspection requests until the process ends.
    pub fn serve(&self) {
        self.inspection.serve(&self.server);
    }
}

/// Lays out the instances: racks of equal size, in turn over the data centres.
fn places(machines: &Machines) -> Vec<Place> {
    let count = machines.data_centres.len() as u32;
    let place = |number: u32| {
        let rack = number / machines.per_rack;
        let data_centre = machines.data_centres[(rack % count) as usize].clone();
        Place {
            name: format!("i-{number:04}"),
            number,
            rack: format!("{data_centre}-r{}", rack / count),
            data_centre,
            slots: machines.slots,
            connection_limit: machines.connections,
        }
    };
    (0..machines.instances).map(place).collect()
}

/// Listens on a loopback address of the instance's own.
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

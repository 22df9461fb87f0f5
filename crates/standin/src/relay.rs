//! A UDP relay between processes, which a test can make drop and delay packets
//! and block open flows.

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{HashMap, HashSet},
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::net::UdpSocket,
};

/// The largest packet that is forwarded, in bytes.
const PACKET_LIMIT_BYTES: usize = 65_535;

/// Faults of the network.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Drop all packets to the server.
    pub cut_to_server: bool,
    /// Drop all packets to the clients.
    pub cut_to_clients: bool,
    /// The probability that a packet is dropped, from 0 to 1.
    pub loss: f64,
    /// The delay of each packet.
    pub delay: Duration,
}

struct State {
    faults: Faults,
    flows: HashMap<SocketAddr, Arc<UdpSocket>>,
    forgotten: HashSet<SocketAddr>,
    rng: ChaCha8Rng,
}

impl State {
    fn drops_packet(&mut self) -> bool {
        let loss = self.faults.loss;
        loss > 0.0 && self.rng.random_range(0.0..1.0) < loss
    }
}

/// A relay in front of one server.
#[derive(Clone)]
pub struct Relay {
    address: SocketAddr,
    server: SocketAddr,
    socket: Arc<UdpSocket>,
    state: Arc<Mutex<State>>,
}

impl Relay {
    /// Starts a relay on a free port, in front of `server`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(server: SocketAddr) -> io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind(("127.0.0.1", 0)).await?);
        let relay = Self {
            address: socket.local_addr()?,
            server,
            socket,
            state: Arc::new(Mutex::new(State {
                faults: Faults::default(),
                flows: HashMap::new(),
                forgotten: HashSet::new(),
                rng: ChaCha8Rng::seed_from_u64(1),
            })),
        };
        tokio::spawn(relay.clone().forward_to_server());
        Ok(relay)
    }

    /// Returns the address that clients use.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Blocks every open flow in both directions, as a stateful firewall or NAT
    /// that lost its connection table does. New flows work.
    pub fn forget_flows(&self) {
        let mut state = self.lock();
        let flows: Vec<SocketAddr> = state.flows.keys().copied().collect();
        state.forgotten.extend(flows);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn forward_to_server(self) {
        let mut packet = vec![0; PACKET_LIMIT_BYTES];
        while let Ok((length, client)) = self.socket.recv_from(&mut packet).await {
            let Some((upstream, delay)) = self.flow(client).await else {
                continue;
            };
            if delay.is_zero() {
                // Separate tasks would reorder packets, which the peers treat
                // as losses.
                let _ = upstream.send(&packet[..length]).await;
                continue;
            }
            let data = packet[..length].to_vec();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                let _ = upstream.send(&data).await;
            });
        }
    }

    /// Returns the upstream socket of a flow and the delay of its packet, or
    /// `None` if the packet is dropped.
    async fn flow(&self, client: SocketAddr) -> Option<(Arc<UdpSocket>, Duration)> {
        let existing = {
            let mut state = self.lock();
            if state.forgotten.contains(&client)
                || state.faults.cut_to_server
                || state.drops_packet()
            {
                return None;
            }
            state.flows.get(&client).cloned()
        };
        let delay = self.lock().faults.delay;
        if let Some(upstream) = existing {
            return Some((upstream, delay));
        }
        let upstream = Arc::new(UdpSocket::bind(("127.0.0.1", 0)).await.ok()?);
        upstream.connect(self.server).await.ok()?;
        self.lock().flows.insert(client, upstream.clone());
        tokio::spawn(self.clone().forward_to_client(client, upstream.clone()));
        Some((upstream, delay))
    }

    async fn forward_to_client(self, client: SocketAddr, upstream: Arc<UdpSocket>) {
        let mut packet = vec![0; PACKET_LIMIT_BYTES];
        while let Ok(length) = upstream.recv(&mut packet).await {
            let delay = {
                let mut state = self.lock();
                let faults = state.faults;
                if state.forgotten.contains(&client)
                    || faults.cut_to_clients
                    || state.drops_packet()
                {
                    continue;
                }
                faults.delay
            };
            if delay.is_zero() {
                let _ = self.socket.send_to(&packet[..length], client).await;
                continue;
            }
            let data = packet[..length].to_vec();
            let socket = self.socket.clone();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                let _ = socket.send_to(&data, client).await;
            });
        }
    }
}

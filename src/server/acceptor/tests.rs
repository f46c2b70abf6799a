use super::*;

fn door() -> Door {
    let mut config = Config::sample();
    config.sockets = 64;
    let (queue, _) = mpsc::channel(8);
    let (stage, stages) = watch::channel(Stage::Serving);
    // Whoever leads through the stages does so for as long as the program runs.
    std::mem::forget(stage);
    let places = ConnectionBudget::new(config.sockets).places();
    let (role, follower) = watch::channel(Role::Sole);
    std::mem::forget(role);
    let successor = Successor {
        role: follower,
        stopping: Arc::default(),
    };
    Door::new(
        &config,
        Clock::start(),
        places,
        crate::server::slow_peers::none(),
        queue,
        (stages, watch::channel(true).1),
        successor,
    )
}

impl Door {
    fn sit(&self, many: usize) -> Vec<Arc<Seat>> {
        let place = || self.places.clone().try_acquire_owned().expect("a place");
        (0..many)
            .map(|_| self.seats.sit(place(), Arc::default(), None))
            .collect()
    }

    /// The other end of a new connection.
    async fn connection(&self) -> TcpStream {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let client = TcpStream::connect(listener.local_addr().expect("an address"));
        let (client, accepted) = tokio::join!(client, listener.accept());
        let place = self.places.clone().try_acquire_owned().expect("a place");
        let (stream, address) = accepted.expect("a connection");
        self.serve_connection(stream, address, place);
        client.expect("a connection")
    }
}

#[tokio::test]
async fn the_silent_go_before_service_clients_hold_all_that_they_may() {
    let door = door();
    let mut silent = door.sit(door.budget.clients * 3 / 4);
    silent[1].begin();
    silent[1].wait();
    let _client = door.connection().await;
    // The first ones are as new as that one: who has asked, and is silent, goes before them.
    let gone = silent.remove(1);
    let gone = tokio::time::timeout(Duration::from_secs(30), gone.go.notified()).await;
    assert!(
        gone.is_ok(),
        "all that sit may stay until there is no place left"
    );
}

#[tokio::test]
async fn where_all_that_have_a_place_ask_the_next_one_is_told_no_at_once() {
    let door = door();
    let busy = door.sit(door.budget.clients);
    busy.iter().for_each(|seat| seat.begin());
    let (mut client, mut answer) = (door.connection().await, String::new());
    client
        .write_all(b"GET /api HTTP/1.1\r\nHost: x\r\n\r\n")
        .await
        .expect("written");
    client
        .read_to_string(&mut answer)
        .await
        .expect("an answer and the end");
    assert!(
        answer.starts_with("HTTP/1.1 503 ") && answer.contains("retry-after: 0.200\r\n"),
        "{answer}"
    );
    // Its place comes back.
    let spare = door.places.acquire_many(door.budget.spare as u32);
    drop(
        tokio::time::timeout(Duration::from_secs(30), spare)
            .await
            .expect("in time")
            .expect("open"),
    );
}

/// Three that the kernel accepted, of which the reactor knows nothing: nothing is awaited in between.
#[tokio::test]
async fn whoever_came_before_the_listener_went_is_served_also_where_no_place_is_free_at_first() {
    for crowded in [false, true] {
        let door = door();
        let mut address = "127.0.0.1:0".parse().expect("an address");
        let listener = listen(&mut address, 16).expect("a listener");
        let mut clients: Vec<_> = (0..3)
            .map(|_| std::net::TcpStream::connect(address).expect("accepted by the kernel"))
            .collect();
        let all = (door.budget.clients + door.budget.spare) as u32;
        let held = crowded.then(|| {
            door.places
                .clone()
                .try_acquire_many_owned(all)
                .expect("free")
        });
        let ends = Instant::now() + Duration::from_secs(30);
        let frees = async {
            tokio::task::yield_now().await;
            drop(held);
        };
        tokio::join!(door.accept_waiting(listener, ends), frees);
        assert!(
            std::net::TcpStream::connect(address).is_err(),
            "the listener has gone"
        );
        for client in &mut clients {
            let (stream, mut piece) = (client.try_clone().expect("a copy"), [0; 12]);
            std::io::Write::write_all(client, b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
                .expect("open");
            stream.set_nonblocking(true).expect("set");
            let mut stream = TcpStream::from_std(stream).expect("a stream");
            let read = tokio::time::timeout(Duration::from_secs(30), stream.read_exact(&mut piece));
            read.await
                .expect("in time")
                .expect("an answer, and no reset");
            assert_eq!(&piece, b"HTTP/1.1 200");
        }
    }
}

use super::*;

fn door() -> Door {
    let mut config = Config::sample();
    config.sockets = 64;
    let (queue, _) = mpsc::channel(8);
    let (stage, stages) = watch::channel(Stage::Serving);
    // Whoever leads through the stages does so for as long as the program runs.
    std::mem::forget(stage);
    let places = Budget::new(config.sockets).places();
    let (role, follower) = watch::channel(Role::Sole);
    std::mem::forget(role);
    let successor = Successor { role: follower, stopping: Arc::default() };
    Door::new(
        &config,
        Clock::start(),
        places,
        super::super::pace::none(),
        queue,
        (stages, watch::channel(true).1),
        successor,
    )
}

impl Door {
    fn sit(&self, many: usize) -> Vec<Arc<Seat>> {
        let place = || self.places.clone().try_acquire_owned().expect("a place");
        (0..many).map(|_| self.seats.sit(place(), Arc::default(), None)).collect()
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
    assert!(gone.is_ok(), "all that sit may stay until there is no place left");
}

#[tokio::test]
async fn where_all_that_have_a_place_ask_the_next_one_is_told_no_at_once() {
    let door = door();
    let busy = door.sit(door.budget.clients);
    busy.iter().for_each(|seat| seat.begin());
    let (mut client, mut answer) = (door.connection().await, String::new());
    client.write_all(b"GET /api HTTP/1.1\r\nHost: x\r\n\r\n").await.expect("written");
    client.read_to_string(&mut answer).await.expect("an answer and the end");
    assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("retry-after: 0.200\r\n"), "{answer}");
    // Its place comes back.
    let spare = door.places.acquire_many(door.budget.spare as u32);
    drop(tokio::time::timeout(Duration::from_secs(30), spare).await.expect("in time").expect("open"));
}

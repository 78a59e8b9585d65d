//! The two built binaries as real processes beside the stand-ins, also when they are killed.

use {
    eyre::{Result, ensure},
    jayspread_entry::hosts::Line,
    jayspread_fakes::{
        caller::{Caller, Request},
        engine::{Behaviour, Effect, Engine, Manifests, Prompt},
        hosts::Hosts,
        log::Log,
        port::{free_tcp, free_udp},
        server::{Server, any_port},
        store::Store,
    },
    std::{
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Child, Command, Output, Stdio},
        time::{Duration, Instant},
    },
    tokio::time,
};

const LIMIT: Duration = Duration::from_secs(30);

/// Folder of the built binaries, built once by `cargo build`.
fn binary(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("tests have a path");
    let folder = test
        .parent()
        .and_then(Path::parent)
        .expect("tests are in deps");
    folder.join(name)
}

fn build() {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let built = Command::new(cargo)
        .args([
            "build",
            "--quiet",
            "-p",
            "jayspread-entry",
            "-p",
            "jayspread-agent",
            "--bins",
        ])
        .status()
        .expect("cargo runs");
    assert!(built.success(), "the binaries build");
}

struct Site {
    folder: PathBuf,
    log: Server,
    list: Server,
    store: Server,
    hosts: Hosts,
    engines: Vec<(Engine, Server)>,
    children: Vec<(String, Child)>,
    callers: Vec<SocketAddr>,
    admins: Vec<SocketAddr>,
    key: String,
}

impl Drop for Site {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn run(args: &[&str]) -> Output {
    Command::new(binary("jayspread"))
        .args(args)
        .output()
        .expect("jayspread runs")
}

fn text(output: &Output) -> String {
    let out = String::from_utf8_lossy(&output.stdout);
    format!("{out}{}", String::from_utf8_lossy(&output.stderr))
}

impl Site {
    async fn open(name: &str) -> Result<Self> {
        build();
        let folder = std::env::temp_dir().join(format!("jayspread-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder)?;
        let hosts = Hosts::default();
        let mut site = Self {
            log: Log::new(1).serve(any_port()).await?,
            list: hosts.serve(any_port()).await?,
            store: Store::new(1).serve(any_port()).await?,
            hosts,
            engines: Vec::new(),
            children: Vec::new(),
            callers: Vec::new(),
            admins: Vec::new(),
            key: String::new(),
            folder,
        };
        let folder = site.path("");
        ensure!(
            run(&["key", "authority", &folder]).status.success(),
            "authority"
        );
        let made = run(&["key", "new", &site.path("operator.key")]);
        site.key = text(&made).trim().to_owned();
        Ok(site)
    }

    fn path(&self, name: &str) -> String {
        self.folder.join(name).display().to_string()
    }

    /// Writes settings of a host and lists it; gives the settings' path.
    fn settings(&mut self, host: &str, place: &str, role: &str, special: &str) -> Result<String> {
        let issued = run(&["key", "host", host, &self.path("")]);
        ensure!(issued.status.success(), "{}", text(&issued));
        let (peer, admin, http) = (free_udp(), free_tcp(), free_tcp());
        let http_line = match role {
            "entry" => format!("\"http\": \"{http}\","),
            _ => String::new(),
        };
        let json = format!(
            r#"{{
                // Written by a test.
                "host": "{host}", "data_centre": "{place}-a", "region": "{place}",
                "listen": {{ {http_line} "peer": "{peer}", "admin": "{admin}" }},
                "tls": {{ "authority": "authority.pem", "certificate": "{host}.pem", "key": "{host}.key" }},
                "operators": [{{ "name": "operator", "key": "{}" }}],
                "timing": {{ "heartbeat_ms": 100, "silent_ms": 1000, "drain_ms": 5000, "call_ms": 1000 }},
                "log_level": "warn",
                {special}
            }}"#,
            self.key
        );
        let file = self.path(&format!("{host}.jsonc"));
        fs::write(&file, json)?;
        if role == "entry" {
            self.callers.push(http);
        }
        self.admins.push(admin);
        self.hosts.set(Line {
            host: host.to_owned(),
            role: role.to_owned(),
            data_centre: format!("{place}-a"),
            region: place.to_owned(),
            address: peer.to_string(),
            service: if role == "entry" {
                String::new()
            } else {
                "drafting".to_owned()
            },
            state: "live".to_owned(),
        });
        Ok(file)
    }

    fn start(&mut self, host: &str, program: &str, args: &[&str]) -> Result<()> {
        let child = Command::new(binary(program))
            .args(args)
            .stderr(Stdio::null())
            .spawn()?;
        self.children.push((host.to_owned(), child));
        Ok(())
    }

    fn add_entry(&mut self, host: &str, place: &str) -> Result<String> {
        let special = format!(
            "\"log\": \"{}\", \"hosts\": \"{}\"",
            self.log.address(),
            self.list.address()
        );
        let file = self.settings(host, place, "entry", &special)?;
        self.start(host, "jayspread", &["entry", "--settings", &file])?;
        Ok(file)
    }

    async fn add_agent(&mut self, host: &str, place: &str) -> Result<String> {
        let engine = Engine::new(&Manifests::default(), Behaviour::default());
        let server = engine.serve(any_port()).await?;
        let special = format!(
            r#""store": "{}", "backend": {{ "address": "{}", "kind": "engine",
               "service": "drafting", "checks_fencing": true, "warm_ms": 100 }}"#,
            self.store.address(),
            server.address()
        );
        self.engines.push((engine, server));
        let file = self.settings(host, place, "agent", &special)?;
        self.start(host, "jayspread-agent", &["--settings", &file])?;
        Ok(file)
    }

    fn kill(&mut self, host: &str) -> Result<()> {
        for (name, child) in &mut self.children {
            if name == host {
                child.kill()?;
                child.wait()?;
            }
        }
        self.children.retain(|(name, _)| name != host);
        Ok(())
    }
}

async fn until<F: Future<Output = bool>>(done: impl Fn() -> F) -> bool {
    let began = Instant::now();
    while began.elapsed() < LIMIT {
        if done().await {
            return true;
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    false
}

#[tokio::test(flavor = "multi_thread")]
async fn binaries_roll_serve_and_survive_kill() -> Result<()> {
    let mut site = Site::open("roll").await?;
    let entry = site.add_entry("khomas-entry", "khomas")?;
    site.add_entry("erongo-entry", "erongo")?;
    let agent = site.add_agent("khomas-drafting", "khomas").await?;
    site.add_agent("erongo-drafting", "erongo").await?;

    fs::write(site.folder.join("base.bin"), vec![7_u8; 300_000])?;
    let description = r#"{
        "version": "v1", "origin_region": "khomas",
        "artifacts": [{ "name": "base", "kind": "weights", "file": "base.bin", "chunk_bytes": 65536 }],
        "services": [{ "name": "drafting", "artifacts": ["base"], "repeatable": ["/generate"] }],
        "data_centres": [
            { "name": "khomas-a", "region": "khomas" }, { "name": "erongo-a", "region": "erongo" }
        ]
    }"#;
    fs::write(site.folder.join("v1.jsonc"), description)?;
    let (bundle, signed) = (site.path("v1.bundle"), site.path("v1.signed"));
    let (described, key) = (site.path("v1.jsonc"), site.path("operator.key"));
    let store = site.store.address().to_string();
    let made = run(&[
        "bundle", "new", &described, "-o", &bundle, "--store", &store,
    ]);
    ensure!(made.status.success(), "{}", text(&made));
    let sign = [
        "bundle",
        "sign",
        &bundle,
        "-o",
        &signed,
        "--settings",
        &entry,
        "--key",
        &key,
    ];
    let made = run(&sign);
    ensure!(made.status.success(), "{}", text(&made));
    let roll = [
        "bundle",
        "roll",
        &signed,
        "--settings",
        &entry,
        "--wait",
        "--limit-s",
        "30",
    ];
    let rolled = run(&roll);
    ensure!(rolled.status.success(), "{}", text(&rolled));
    ensure!(
        text(&rolled).contains("accepted revision=1"),
        "{}",
        text(&rolled)
    );

    // The same signed change a second time is refused: it was made from revision 0.
    let again = run(&["bundle", "roll", &signed, "--settings", &entry]);
    ensure!(again.status.code() == Some(1), "{}", text(&again));
    ensure!(
        text(&again).contains("made from revision 0"),
        "{}",
        text(&again)
    );

    let caller = Caller::new(site.callers[0], LIMIT);
    let prompt = Prompt {
        prompt: "permit".to_owned(),
        tokens: 5,
        stream: true,
    };
    let answer = caller
        .generate("drafting", &prompt, &Request::default())
        .await?;
    ensure!(answer.status.is_success(), "{}", answer.status);

    // An agent killed during a non-repeatable request: the refusal does not claim it did not run.
    let effect = Effect {
        effect: "fee".to_owned(),
        takes_ms: 3000,
    };
    let lodging = {
        let (caller, effect) = (caller.clone(), effect.clone());
        tokio::spawn(async move {
            caller
                .apply_effect("drafting", &effect, &Request::default())
                .await
        })
    };
    let ran = |site: &Site| {
        site.engines
            .iter()
            .position(|(e, _)| e.counters().effects.contains_key("fee"))
    };
    let began = until(|| async { ran(&site).is_some() }).await;
    ensure!(began, "the request did not reach an engine");
    let hosts = ["khomas-drafting", "erongo-drafting"];
    let struck = ran(&site).expect("the request has begun");
    site.kill(hosts[struck])?;
    let refused = lodging.await??;
    ensure!(
        refused.reported_ran().as_deref() == Some("unknown"),
        "{:?}",
        refused.body
    );
    ensure!(
        site.engines[struck].0.counters().effects["fee"] == 1,
        "ran once"
    );
    let file = if struck == 0 {
        agent
    } else {
        site.path("erongo-drafting.jsonc")
    };
    site.start(hosts[struck], "jayspread-agent", &["--settings", &file])?;

    // An entry host killed and started again learns the configuration from the log.
    site.kill("khomas-entry")?;
    site.start(
        "khomas-entry",
        "jayspread",
        &["entry", "--settings", &entry],
    )?;
    let served = until(|| async {
        let answer = caller
            .generate("drafting", &prompt, &Request::default())
            .await;
        answer.is_ok_and(|a| a.status.is_success())
    });
    ensure!(served.await, "the restarted entry host does not serve");

    let out = [
        "data-centre",
        "out",
        "erongo-a",
        "--settings",
        &entry,
        "--key",
        &key,
    ];
    let moved = run(&out);
    ensure!(
        text(&moved).contains("accepted revision=2"),
        "{}",
        text(&moved)
    );
    let listed = run(&["data-centre", "list", "--settings", &entry]);
    ensure!(
        text(&listed).contains("erongo-a region=erongo state=out"),
        "{}",
        text(&listed)
    );
    let history = run(&["bundle", "history", "--settings", &entry]);
    ensure!(
        text(&history).contains("refused operator=operator"),
        "{}",
        text(&history)
    );
    let dump = run(&["dump", &site.admins[0].to_string()]);
    ensure!(text(&dump).contains("\"revision\": 2"), "{}", text(&dump));
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_refuse_bad_input() -> Result<()> {
    let site = Site::open("bad").await?;
    let file = site.path("bad.jsonc");
    fs::write(&file, r#"{ "host": "a", "colour": 1 }"#)?;
    let cases: [(&[&str], i32, &str); 4] = [
        (
            &["settings", "check", &file],
            2,
            "bad.jsonc: colour: unknown field",
        ),
        (&["settings", "check", "/nonexistent"], 2, "/nonexistent"),
        (&["bundle", "check", &file], 2, "not a bundle"),
        (&["dump", "127.0.0.1:1"], 1, "could not read the state"),
    ];
    for (args, code, reason) in cases {
        let output = run(args);
        ensure!(
            output.status.code() == Some(code),
            "{args:?}: {}",
            text(&output)
        );
        ensure!(
            text(&output).contains(reason),
            "{args:?}: {}",
            text(&output)
        );
    }
    Ok(())
}

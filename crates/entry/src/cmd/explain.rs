//! `jayspread explain`: prints the way of a request through log files.

use {
    crate::{
        args::Explain,
        cmd::{Run, UsageError},
        explain::{Filter, Search},
    },
    eyre::{Result, WrapErr},
    std::{
        fs::File,
        io::{self, BufRead, BufReader, Write},
        path::Path,
    },
};

impl Run for Explain {
    async fn run(&self) -> Result<()> {
        let mut search = Search::new(self.filter()?);
        for file in &self.logs {
            read(file, &mut search)
                .wrap_err_with(|| format!("could not read {}", file.display()))?;
        }
        let report = search.finish();
        let mut out = io::stdout().lock();
        for line in &report.lines {
            writeln!(out, "{line}")?;
        }
        if report.dropped > 0 {
            writeln!(out, "{} more lines match", report.dropped)?;
        }
        if let Some(cause) = report.cause {
            writeln!(out, "cause: {cause}")?;
        }
        Ok(())
    }
}

impl Explain {
    fn filter(&self) -> Result<Filter> {
        let filter = Filter {
            request: self.request.clone(),
            engine: self.engine.clone(),
            host: self.host.clone(),
            between: match &self.between[..] {
                [first, last] => Some((first.clone(), last.clone())),
                _ => None,
            },
        };
        let is_empty = filter.request.is_none()
            && filter.engine.is_none()
            && filter.host.is_none()
            && filter.between.is_none();
        if is_empty {
            let reason = "one of --request, --engine, --host and --between is needed";
            return Err(UsageError(reason.into()).into());
        }
        Ok(filter)
    }
}

/// Reads a file line by line; bytes that are not text are replaced.
fn read(file: &Path, search: &mut Search) -> io::Result<()> {
    let host = file.file_stem().unwrap_or_default().to_string_lossy();
    let mut reader = BufReader::new(File::open(file)?);
    let mut line = Vec::new();
    loop {
        line.clear();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return Ok(());
        }
        search.add(String::from_utf8_lossy(&line).trim_end(), &host);
    }
}

//! Route tables that may be in force.

use bramblewheel_protocol::routing::{StoredTable, TableVersion};

/// The last table known to be in force, and later ones that may have replaced it.
pub struct ExpectedTables {
    known: StoredTable,
    /// Tables based on the known one whose answer was lost.
    undecided: Vec<StoredTable>,
    last_version: u64,
}

impl ExpectedTables {
    pub fn new(known: StoredTable) -> Self {
        let last_version = known.version.0;
        Self {
            known,
            undecided: Vec::new(),
            last_version,
        }
    }

    /// Version on which the next table must be based.
    pub fn parent(&self) -> u64 {
        self.known.version.0
    }

    pub fn next_version(&mut self) -> u64 {
        self.last_version += 1;
        self.last_version
    }

    pub fn accepted(&mut self, table: StoredTable) {
        self.known = table;
        self.undecided.clear();
    }

    pub fn answer_lost(&mut self, table: StoredTable) {
        self.undecided.push(table);
    }

    /// Checks a table that was read. Afterwards no other undecided one can be accepted.
    pub fn read(&mut self, table: Option<StoredTable>) -> Result<(), String> {
        if table.as_ref() == Some(&self.known) {
            return Ok(());
        }
        let read = table.filter(|table| self.undecided.contains(table));
        let Some(read) = read else {
            return Err(format!(
                "acknowledged version {:?} is lost",
                self.known.version
            ));
        };
        self.accepted(read);
        Ok(())
    }

    /// Checks the version in force that was named in the refusal of a table.
    pub fn refused_for(&self, current: TableVersion) -> Result<(), String> {
        let mut undecided = self.undecided.iter();
        if undecided.any(|table| table.version == current) {
            return Ok(());
        }
        Err(format!(
            "version {current:?} is in force after {:?} was acknowledged",
            self.known.version
        ))
    }
}

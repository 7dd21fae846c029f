//! A set of a job's tasks that is stored in pages.
//!
//! The assignment log stores progress in pages of [`TASKS_PER_PAGE`] tasks, so that only pages
//! that have changed are written and a page always fits into a segment. The size of a page is
//! part of the stored format.

/// Number of tasks per page. Two bitmaps of a page (done and restarted tasks) fit into a segment of
/// any size that a store allows.
pub const TASKS_PER_PAGE: u32 = 4096;
/// Size of the bitmap of a full page, in bytes.
pub const PAGE_BYTES: usize = TASKS_PER_PAGE as usize / 8;

/// The page that a task belongs to.
pub fn page_of(task_index: u32) -> u32 {
    task_index / TASKS_PER_PAGE
}

/// A set of task indices that keeps count of its members.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TaskBitmap {
    bytes: Vec<u8>,
    count: u32,
}

impl TaskBitmap {
    /// Whether a task is in the set.
    pub fn contains(&self, task_index: u32) -> bool {
        let byte = self.bytes.get(byte_position(task_index));
        byte.is_some_and(|byte| byte & bit_mask(task_index) != 0)
    }

    /// Adds a task. Returns whether the task was not in the set before.
    pub fn insert(&mut self, task_index: u32) -> bool {
        let position = byte_position(task_index);
        if self.bytes.len() <= position {
            self.bytes.resize(position + 1, 0);
        }
        let is_new = !self.contains(task_index);
        self.bytes[position] |= bit_mask(task_index);
        self.count += u32::from(is_new);
        is_new
    }

    /// The number of tasks in the set.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// The bitmap of one page, without trailing zero bytes.
    pub fn page(&self, page: u32) -> &[u8] {
        let start = (page as usize * PAGE_BYTES).min(self.bytes.len());
        let end = (start + PAGE_BYTES).min(self.bytes.len());
        let bitmap = &self.bytes[start..end];
        let length = bitmap.iter().rposition(|byte| *byte != 0).map_or(0, |last| last + 1);
        &bitmap[..length]
    }

    /// Adds the tasks of a page's bitmap whose index is below `task_count`. Bits beyond the
    /// page or the job are ignored.
    pub fn insert_page(&mut self, page: u32, bitmap: &[u8], task_count: u32) {
        let first_task = page.saturating_mul(TASKS_PER_PAGE);
        for (position, byte) in (0..).zip(bitmap.iter().take(PAGE_BYTES)) {
            for bit in (0..8).filter(|bit| byte >> bit & 1 == 1) {
                let task_index = first_task.saturating_add(position * 8 + bit);
                if task_index < task_count {
                    self.insert(task_index);
                }
            }
        }
    }
}

fn byte_position(task_index: u32) -> usize {
    task_index as usize / 8
}

fn bit_mask(task_index: u32) -> u8 {
    1 << (task_index % 8)
}

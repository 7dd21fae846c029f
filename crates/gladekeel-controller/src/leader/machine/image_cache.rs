//! The container images on a machine, which the leader infers from the tasks that it assigned.

use gladekeel_sched::ImageIdx;
use std::collections::BTreeSet;

/// An image of a task that was assigned to the machine.
#[derive(Debug, Clone, Copy)]
struct CacheEntry {
    image: ImageIdx,
    size_gb: f64,
}

/// The images on a machine. The leader assumes that a worker whose cache is full evicts the least
/// recently used images.
#[derive(Debug, Default)]
pub struct ImageCache {
    /// Images that are cached or being fetched, least recently used first.
    entries: Vec<CacheEntry>,
    /// The images that are known to be completely fetched, because a task was seen to use them.
    cached: BTreeSet<ImageIdx>,
}

impl ImageCache {
    /// Records that a task with this image was assigned, and evicts the least recently used images
    /// until the rest fits into the capacity. The new image itself is never evicted.
    pub fn record_use(&mut self, image: ImageIdx, size_gb: f64, capacity_gb: f64) {
        self.entries.retain(|entry| entry.image != image);
        self.entries.push(CacheEntry { image, size_gb });
        let mut total_gb: f64 = self.entries.iter().map(|entry| entry.size_gb).sum();
        while total_gb > capacity_gb && self.entries.len() > 1 {
            let evicted = self.entries.remove(0);
            self.cached.remove(&evicted.image);
            total_gb -= evicted.size_gb;
        }
    }

    /// Records that a task on the machine uses this image, which shows that the image is completely
    /// fetched.
    pub fn record_fetched(&mut self, image: ImageIdx) {
        self.cached.insert(image);
    }

    /// Whether the image is cached or being fetched.
    pub fn is_cached_or_fetching(&self, image: ImageIdx) -> bool {
        self.entries.iter().any(|entry| entry.image == image)
    }

    /// Whether the image is completely fetched.
    pub fn is_cached(&self, image: ImageIdx) -> bool {
        self.cached.contains(&image)
    }

    /// Images that are cached or being fetched, least recently used first.
    pub fn cached_or_fetching(&self) -> impl Iterator<Item = ImageIdx> {
        self.entries.iter().map(|entry| entry.image)
    }

    /// Images that are completely fetched.
    pub fn cached(&self) -> &BTreeSet<ImageIdx> {
        &self.cached
    }
}

//! Load driver.

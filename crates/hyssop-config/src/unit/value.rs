use strum::VariantNames;

/// A type of value in settings.
pub trait Value: Sized {
    /// An example of a valid value, for error messages.
    const EXAMPLE: &'static str;

    /// Parses the text of a value.
    ///
    /// # Errors
    ///
    /// Fails with the reason if `text` is not a valid value of this type.
    fn parse(text: &str) -> Result<Self, String>;
}

impl Value for String {
    const EXAMPLE: &'static str = "text";

    fn parse(text: &str) -> Result<Self, String> {
        if text.is_empty() {
            return Err("it is empty".to_owned());
        }
        Ok(text.to_owned())
    }
}

impl Value for u32 {
    const EXAMPLE: &'static str = "8";

    fn parse(text: &str) -> Result<Self, String> {
        text.parse()
            .map_err(|_| "it is not a whole number".to_owned())
    }
}

impl Value for u64 {
    const EXAMPLE: &'static str = "8";

    fn parse(text: &str) -> Result<Self, String> {
        text.parse()
            .map_err(|_| "it is not a whole number".to_owned())
    }
}

impl Value for f64 {
    const EXAMPLE: &'static str = "0.1";

    fn parse(text: &str) -> Result<Self, String> {
        let number: f64 = text.parse().map_err(|_| "it is not a number".to_owned())?;
        if !number.is_finite() || number < 0.0 {
            return Err("it is not a finite number of at least 0".to_owned());
        }
        Ok(number)
    }
}

impl Value for std::net::SocketAddr {
    const EXAMPLE: &'static str = "127.0.0.1:7100";

    fn parse(text: &str) -> Result<Self, String> {
        text.parse()
            .map_err(|_| "it is not an IP address with a port".to_owned())
    }
}

/// Parses the name of an enum variant. The names are those of `strum`.
///
/// # Errors
///
/// Fails with the list of valid names if `text` is not one of them.
pub fn parse_variant<T: std::str::FromStr + VariantNames>(text: &str) -> Result<T, String> {
    text.parse()
        .map_err(|_| format!("it is not one of {}", T::VARIANTS.join(", ")))
}

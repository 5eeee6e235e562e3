//! Skipping of a command whose words are not kept: only the start of the next command is determined.

use super::RespError;
use super::parser::{Parser, word_length_max};

/// Part of the command that comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextPart {
    ArrayHeader,
    WordHeader,
    /// The rest of a word and of its line end.
    Word {
        bytes_left: usize,
    },
    Nothing,
}

/// Progress through a command that is skipped as it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommandSkip {
    next: NextPart,
    word: usize,
    words: usize,
}

const LINE_END: &[u8] = b"\r\n";

impl CommandSkip {
    /// Begins at the first byte of a command.
    #[must_use]
    pub fn begin() -> Self {
        CommandSkip {
            next: NextPart::ArrayHeader,
            word: 0,
            words: 0,
        }
    }

    /// Returns whether the whole command has been skipped.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.next == NextPart::Nothing
    }

    /// Skips the next bytes of the command. Returns how many bytes of `input` belong to it and are
    /// not needed any more; a header line that is incomplete stays.
    ///
    /// # Errors
    /// If the input is not a valid command.
    pub fn skip(&mut self, input: &[u8]) -> Result<usize, RespError> {
        let mut position = 0;
        loop {
            let rest = &input[position..];
            let skipped = match self.next {
                NextPart::Nothing => None,
                NextPart::Word { bytes_left } => self.skip_word(rest, bytes_left)?,
                NextPart::ArrayHeader | NextPart::WordHeader => self.skip_header(rest)?,
            };
            match skipped {
                Some(length) => position += length,
                None => return Ok(position),
            }
        }
    }

    /// Skips a complete header line. Returns its length, or `None` if the line is incomplete.
    fn skip_header(&mut self, input: &[u8]) -> Result<Option<usize>, RespError> {
        let mut parser = Parser::new(input);
        let is_array = self.next == NextPart::ArrayHeader;
        let header = if is_array {
            parser.command_header()
        } else {
            parser.word_header(word_length_max(self.word))
        };
        let Some(number) = super::parser::incomplete_as_none(header)? else {
            return Ok(None);
        };
        if is_array {
            self.words = number;
            self.begin_word();
        } else {
            self.next = NextPart::Word {
                bytes_left: number + LINE_END.len(),
            };
        }
        Ok(Some(parser.position()))
    }

    /// Skips bytes of a word. Returns how many, or `None` if none has arrived.
    fn skip_word(&mut self, input: &[u8], bytes_left: usize) -> Result<Option<usize>, RespError> {
        let length = bytes_left.min(input.len());
        if length == 0 {
            return Ok(None);
        }
        let left = bytes_left - length;
        // The part of the line end that is among the skipped bytes.
        let end = &LINE_END[LINE_END.len().saturating_sub(bytes_left)..];
        let end = &end[..end.len().saturating_sub(left)];
        if !input[..length].ends_with(end) {
            return Err(RespError::MissingLineEnd);
        }
        self.next = NextPart::Word { bytes_left: left };
        if left == 0 {
            self.word += 1;
            self.begin_word();
        }
        Ok(Some(length))
    }

    fn begin_word(&mut self) {
        self.next = if self.word < self.words {
            NextPart::WordHeader
        } else {
            NextPart::Nothing
        };
    }
}
